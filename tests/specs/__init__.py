"""Tests that model-check the protocol specifications."""
