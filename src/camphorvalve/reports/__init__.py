"""What the fleet tells its operators: traces, burn, metrics and logs."""

from __future__ import annotations
