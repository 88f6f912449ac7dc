"""
Measures one router today and at the target size, and extrapolates its control-plane cost there.

The figures go to a table and to one JSON object.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
from typing import Any

import structlog

import camphorvalve.wiring.router  # noqa: F401 -- the imports of a router count towards its memory
from tools.measuring import slopes
from tools.measuring.simulatedrouter import SimulatedRouter

WAITING_TEAMS = {"today": 16, "target": 8}
"""Backlogged teams per router: all 16 today; at the target 1,100, each at 8 of 1,200 routers."""
REQUESTS_PER_S = 22_000 / 1200
TOKENS_PER_S = 5.8e6 / 1200
CHANGES_PER_S = 8400 / 86_400
DEPLOYMENT_CHANGES_PER_S = 2 * 1560 / 86_400
"""60 failures and 1,500 restarts a day; every time a host leaves and rejoins."""
SCHEDULERS_PER_TEAM = 3
TIMER_WAKEUPS_PER_S = 11.0
"""Wake-ups of a router's event loop for the ticks of its state controllers."""


def message_rates() -> dict[str, float]:
    """
    Estimate the messages that one router receives at the target size; it sends as many.

    :return: messages per second by message name
    """
    service_per_s = 1100 * SCHEDULERS_PER_TEAM / 1200
    return {
        "ping": 2 * 8.0,
        "demand": 1100 * 8 * SCHEDULERS_PER_TEAM / 1200 / 2 + REQUESTS_PER_S,
        "grant": REQUESTS_PER_S,
        "progress": REQUESTS_PER_S,
        "free_slots": 8.0,
        "service_report": service_per_s,
        "service_total": service_per_s,
    }


def control(
    costs: dict[str, Any], sizes: dict[str, int], link_us: float, wakeup_us: float
) -> dict[str, float]:
    """
    Extrapolate the control-plane cost of a router to the target size.

    :param costs: microseconds by message and tick
    :param sizes: bytes by message
    :param link_us: microseconds to send and receive one message
    :param wakeup_us: microseconds of a wake-up by a timer
    :return: rates of messages and bytes, and fractions of a core
    """
    rates = message_rates()
    handling_us = sum(rates[name] * costs[name] for name in rates)
    ticks_us = sum(value for name, value in costs.items() if name.startswith("tick_"))
    changes_us = costs["config_update"] * CHANGES_PER_S
    changes_us += costs["deployment_change"] * DEPLOYMENT_CHANGES_PER_S
    return {
        "messages_received_per_s": round(sum(rates.values()), 1),
        "bytes_per_s": round(2 * sum(rates[name] * sizes[name] for name in rates)),
        "processor_handling": round(handling_us / 1e6, 4),
        "processor_link": round(sum(rates.values()) * link_us / 1e6, 4),
        "processor_ticks": round(ticks_us / 1e6, 4),
        "processor_wakeups": round(TIMER_WAKEUPS_PER_S * wakeup_us / 1e6, 4),
        "processor_changes": round(changes_us / 1e6, 4),
    }


def measure() -> dict[str, Any]:
    """
    Measure all costs.

    :return: figures by name, today and at the target size
    """
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    base_mb = slopes.rss_bytes() / 2**20
    memory = {
        "today": slopes.memory_mb(slopes.TODAY, WAITING_TEAMS["today"]),
        "target": slopes.memory_mb(slopes.TARGET, WAITING_TEAMS["target"]),
    }
    results: dict[str, Any] = {"base_mb": round(base_mb, 1), "memory_mb": memory}
    for name, size in (("today", slopes.TODAY), ("target", slopes.TARGET)):
        router = SimulatedRouter(*size)
        costs = slopes.message_costs(router)
        costs["request"] = slopes.request_cost_us(SimulatedRouter(*size))
        costs["config_update"] = slopes.update_cost_us(SimulatedRouter(*size))
        costs |= slopes.tick_costs(SimulatedRouter(*size), WAITING_TEAMS[name])
        results[name] = costs
    results["backlogged_100"] = slopes.tick_costs(SimulatedRouter(*slopes.TARGET), 100)
    results["bytes"] = {
        name: len(frame) for name, frame in slopes.frames(SimulatedRouter(*slopes.TODAY)).items()
    }
    results["token_us"] = slopes.token_cost_us()
    results["link_us"] = asyncio.run(slopes.link_cost_us())
    results["wakeup_us"] = asyncio.run(slopes.wakeup_cost_us())
    results["control"] = control(
        results["target"], results["bytes"], results["link_us"], results["wakeup_us"]
    )
    fractions = [
        results["control"][name] for name in results["control"] if name.startswith("processor")
    ]
    results["control_cpu_fraction"] = round(sum(fractions), 4)
    results["token_cpu_fraction"] = round(TOKENS_PER_S * results["token_us"] / 1e6, 4)
    results["request_cpu_fraction"] = round(REQUESTS_PER_S * results["target"]["request"] / 1e6, 4)
    results["rss_mb"] = round(base_mb + sum(memory["target"].values()), 1)
    results["load"] = os.getloadavg()[0]
    return results


def print_all() -> None:
    """Measure all costs and print a table and one JSON object."""
    results = measure()
    headings = ("today", "target", "100 teams")
    print(f"{'microseconds':28}{''.join(f'{heading:>12}' for heading in headings)}{'bytes':>8}")
    for name, today in results["today"].items():
        backlogged = results["backlogged_100"].get(name)
        cells = [f"{today:12.1f}", f"{results['target'][name]:12.1f}"]
        cells += [
            f"{backlogged:12.1f}" if backlogged else " " * 12,
            f"{results['bytes'].get(name, ''):>8}",
        ]
        print(f"{name:28}{''.join(cells)}")
    print(f"{'token through eight filters':28}{results['token_us']:12.1f}")
    print(f"{'message over a link':28}{results['link_us']:12.1f}")
    print(f"{'wake-up by a timer':28}{results['wakeup_us']:12.1f}")
    for name, parts in results["memory_mb"].items():
        print(f"memory {name}: imports {results['base_mb']} MB, {_rounded(parts)}")
    print(f"control at the target size: {results['control']}")
    for name in ("control_cpu_fraction", "rss_mb", "request_cpu_fraction", "token_cpu_fraction"):
        print(f"{name}: {results[name]}")
    print(json.dumps(results))


def _rounded(parts: dict[str, float]) -> dict[str, float]:
    return {name: round(value, 1) for name, value in parts.items()}


__all__ = ["control", "measure", "message_rates", "print_all"]
