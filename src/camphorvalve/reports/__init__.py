"""Operator reports: request traces, service-level burn rates, metrics and logs."""

from __future__ import annotations
