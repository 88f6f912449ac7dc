"""Prints the slopes, and what a router needs for control at the target size."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from typing import Any

import structlog

import camphorvalve.wiring.router  # noqa: F401 -- a router's memory starts with its imports
from tools.measuring import slopes
from tools.measuring.node import Node

WAITING_TEAMS = {"today": 16, "target": 8}
"""Backlogged teams per router: all of 16 today; 1,100 teams, each at 8 of 1,200 routers."""
REQUESTS_PER_S = 22_000 / 1200
TOKENS_PER_S = 5.8e6 / 1200
CHANGES_PER_S = 8400 / 86_400
DEPLOYMENT_CHANGES_PER_S = 2 * 1560 / 86_400
"""60 failures and 1,500 restarts a day; each host leaves and comes back."""
SCHEDULERS_PER_TEAM = 3
TIMER_WAKEUPS_PER_S = 11.0
"""Ticks of the state controllers of a router."""


def message_rates() -> dict[str, float]:
    """
    Count what one router receives a second at the target size; it sends as many.

    :return: messages a second
    """
    scheduled = 1100 * SCHEDULERS_PER_TEAM / 1200
    return {
        "ping": 2 * 8.0,
        "demand": 1100 * 8 * SCHEDULERS_PER_TEAM / 1200 / 2 + REQUESTS_PER_S,
        "grant": REQUESTS_PER_S,
        "progress": REQUESTS_PER_S,
        "free_slots": 8.0,
        "service_report": scheduled,
        "service_total": scheduled,
    }


def control(
    costs: dict[str, Any], sizes: dict[str, int], link_us: float, wakeup_us: float
) -> dict[str, float]:
    """
    Extrapolate a router's control at the target size.

    :param costs: microseconds by message and tick
    :param sizes: bytes by message
    :param link_us: sending and receiving one message
    :param wakeup_us: a timer that wakes the loop up
    :return: part of a core and bytes a second
    """
    rates = message_rates()
    handling_us = sum(rates[name] * costs[name] for name in rates)
    ticks_us = sum(value for name, value in costs.items() if name.startswith("tick_"))
    others_us = costs["config_update"] * CHANGES_PER_S
    others_us += costs["deployment_change"] * DEPLOYMENT_CHANGES_PER_S
    return {
        "messages_received_per_s": round(sum(rates.values()), 1),
        "bytes_per_s": round(2 * sum(rates[name] * sizes[name] for name in rates)),
        "processor_handling": round(handling_us / 1e6, 4),
        "processor_link": round(sum(rates.values()) * link_us / 1e6, 4),
        "processor_ticks": round(ticks_us / 1e6, 4),
        "processor_wakeups": round(TIMER_WAKEUPS_PER_S * wakeup_us / 1e6, 4),
        "processor_changes": round(others_us / 1e6, 4),
    }


def measure() -> dict[str, Any]:
    """
    Measure all slopes.

    :return: figures by name, today and at the target size
    """
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    base_mb = slopes.rss_bytes() / 2**20
    memory = {
        "today": slopes.memory_mb(slopes.TODAY, WAITING_TEAMS["today"]),
        "target": slopes.memory_mb(slopes.TARGET, WAITING_TEAMS["target"]),
    }
    found: dict[str, Any] = {"base_mb": round(base_mb, 1), "memory_mb": memory}
    for name, size in (("today", slopes.TODAY), ("target", slopes.TARGET)):
        node = Node(*size)
        costs = slopes.message_costs(node)
        costs["request"] = slopes.request_cost_us(Node(*size))
        costs["config_update"] = slopes.update_cost_us(Node(*size))
        costs |= slopes.tick_costs(Node(*size), WAITING_TEAMS[name])
        found[name] = costs
    found["backlogged_100"] = slopes.tick_costs(Node(*slopes.TARGET), 100)
    found["bytes"] = {name: len(one) for name, one in slopes.frames(Node(*slopes.TODAY)).items()}
    found["token_us"] = slopes.token_cost_us()
    found["link_us"] = asyncio.run(slopes.link_cost_us())
    found["wakeup_us"] = asyncio.run(slopes.wakeup_cost_us())
    found["control"] = control(
        found["target"], found["bytes"], found["link_us"], found["wakeup_us"]
    )
    parts = [found["control"][one] for one in found["control"] if one.startswith("processor")]
    found["control_cpu_fraction"] = round(sum(parts), 4)
    found["token_cpu_fraction"] = round(TOKENS_PER_S * found["token_us"] / 1e6, 4)
    found["request_cpu_fraction"] = round(REQUESTS_PER_S * found["target"]["request"] / 1e6, 4)
    found["rss_mb"] = round(base_mb + sum(memory["target"].values()), 1)
    found["load"] = os.getloadavg()[0]
    return found


def print_all() -> None:
    """Print a table and one JSON object."""
    found = measure()
    head = ("today", "target", "100 teams")
    print(f"{'microseconds':28}{''.join(f'{one:>12}' for one in head)}{'bytes':>8}")
    for name, today in found["today"].items():
        more = found["backlogged_100"].get(name)
        cells = [f"{today:12.1f}", f"{found['target'][name]:12.1f}"]
        cells += [f"{more:12.1f}" if more else " " * 12, f"{found['bytes'].get(name, ''):>8}"]
        print(f"{name:28}{''.join(cells)}")
    print(f"{'token through the chain':28}{found['token_us']:12.1f}")
    print(f"{'message from link to link':28}{found['link_us']:12.1f}")
    print(f"{'wake-up by a timer':28}{found['wakeup_us']:12.1f}")
    for name, parts in found["memory_mb"].items():
        print(f"memory {name}: imports {found['base_mb']} MB, {_rounded(parts)}")
    print(f"control at the target size: {found['control']}")
    for name in ("control_cpu_fraction", "rss_mb", "request_cpu_fraction", "token_cpu_fraction"):
        print(f"{name}: {found[name]}")
    print(json.dumps(found))


def _rounded(parts: dict[str, float]) -> dict[str, float]:
    return {name: round(value, 1) for name, value in parts.items()}


__all__ = ["control", "measure", "message_rates", "print_all"]
