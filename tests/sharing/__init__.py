"""Tests of the decisions on sharing."""
