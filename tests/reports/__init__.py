"""Tests of the operator reports."""
