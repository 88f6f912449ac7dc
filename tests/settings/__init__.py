"""Tests of the settings files."""
