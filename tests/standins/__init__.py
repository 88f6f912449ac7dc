"""Tests of the stand-ins; tests that use them prove nothing if their behaviour is wrong."""
