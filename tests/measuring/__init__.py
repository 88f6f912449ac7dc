"""Tests of the calculations behind the benchmarks."""
