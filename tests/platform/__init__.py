"""Tests of the adapter in ``platform/``."""
