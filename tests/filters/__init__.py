"""Tests of the filter chain."""
