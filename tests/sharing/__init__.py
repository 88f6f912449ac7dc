"""Tests of the decisions on sharing capacity."""
