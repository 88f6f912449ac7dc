"""Tests of the messages between processes."""
