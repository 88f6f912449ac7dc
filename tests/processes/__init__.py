"""Tests of whole deployments of real processes under faults."""
