"""Tests of the replicated log and of its storage."""
