"""Tests of the HTTP front ends."""
