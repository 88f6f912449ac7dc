"""Tests of the specifications."""
