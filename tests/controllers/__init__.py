"""Tests of the state controllers."""
