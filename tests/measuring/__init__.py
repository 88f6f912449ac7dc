"""Tests of the measurement's calculations."""
