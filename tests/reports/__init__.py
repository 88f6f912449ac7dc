"""Tests of what the fleet tells its operators."""
