"""Tests of the stand-ins: tests that rely on them prove nothing if they behave otherwise."""
