"""Tests of the replicated state machine."""
