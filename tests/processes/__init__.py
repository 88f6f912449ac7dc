"""Tests of complete deployments of real processes under faults."""
