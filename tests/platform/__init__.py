"""Tests of the platform adapter in ``platform/``."""
