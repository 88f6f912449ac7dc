"""Validates settings beyond their types: addresses, ranges and values that contradict others."""

from __future__ import annotations

import ipaddress
import re
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import urlsplit

import zmq
from zmq.utils import z85

from camphorvalve.settings.problems import Problem, problem_at
from camphorvalve.settings.schema import ControllerSettings, RouterSettings

Settings = RouterSettings | ControllerSettings

POLICIES = ("fleet_fair", "local_fair", "first_come")
LOG_FORMATS = ("json", "console")
LOG_LEVELS = ("debug", "info", "warning", "error")
CONTROLLER_COUNTS = (1, 3, 5)
MAX_RECORDED_ANSWER_BYTES = 256 << 10
"""Size limit of the answer that is stored in a record; see section 7.6 of the design page."""

# Allowed range of each numeric setting. A duration above its upper bound is most likely in
# milliseconds. The lower bounds keep control traffic within its budget and intervals above the
# timer resolution of a busy event loop.
RANGES: Mapping[str, tuple[float, float]] = {
    "address_lifetime_s": (0.1, 60),
    "feed_interval_s": (0.1, 2),
    "queue_total_count": (1, 1 << 20),
    "queue_total_bytes": (1 << 20, 1 << 30),
    "record_timeout_s": (0.1, 60),
    "stop_timeout_s": (1, 3600),
    "weight_store_bytes_per_s": (1, 1e13),
    "election_timeout_s": (0.1, 30),
    "heartbeat_s": (0.02, 10),
    "snapshot_every_count": (10, 1 << 24),
    "result_retention_s": (1, 30 * 86400),
    "result_store_bytes": (MAX_RECORDED_ANSWER_BYTES, 1 << 34),
    "router_lost_s": (3, 120),
    "member_lost_s": (2, 3600),
    "member_replaced_s": (1, 3600),
}

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_PORT = re.compile(r"[1-9][0-9]{0,4}")


def check(settings: Settings) -> Iterator[Problem]:
    """
    Validate converted settings; values that failed the conversion are skipped.

    :param settings: settings of a router or a controller
    :return: the problems found
    """
    yield from _check_host_names(settings)
    yield from _check_ranges(settings)
    yield from _check_addresses(settings)
    yield from _check_controllers(settings)
    yield from _check_keys(settings.keys)
    yield from _check_logging_and_metrics(settings)
    match settings:
        case RouterSettings():
            yield from _check_router(settings)
        case ControllerSettings():
            yield from _check_controller(settings)


def _check_host_names(settings: Settings) -> Iterator[Problem]:
    for field in ("host_id", "data_centre"):
        yield from _check_name(field, getattr(settings, field))


def _check_name(path: str, value: Any) -> Iterator[Problem]:
    if isinstance(value, str) and not _NAME.fullmatch(value):
        yield problem_at(path, value, "1 to 63 letters, digits, '.', '_' or '-'")


def _check_ranges(settings: Settings) -> Iterator[Problem]:
    for field, (low, high) in RANGES.items():
        value = getattr(settings, field, None)
        if isinstance(value, (int, float)) and not low <= value <= high:
            yield problem_at(field, value, f"{low:g} to {high:g}")


def _check_addresses(settings: Settings) -> Iterator[Problem]:
    binds = ("caller_bind", "operator_bind")
    for field in binds:
        yield from _check_bind_address(field, getattr(settings, field, None))
    yield from _check_peer_address("peer_bind", settings.peer_bind)
    for field in ("caller_url", "operator_url", "platform_url"):
        yield from _check_url(field, getattr(settings, field, None))
    seen: dict[str, str] = {}
    for field in (*binds, "peer_bind"):
        value = getattr(settings, field, None)
        if isinstance(value, str):
            address = value.removeprefix("tcp://")
            if address in seen:
                yield problem_at(field, value, f"an address other than that of {seen[address]}")
            seen.setdefault(address, field)


def _check_bind_address(path: str, value: Any) -> Iterator[Problem]:
    if isinstance(value, str) and not _is_address(value):
        yield problem_at(path, value, "an IP address and port (1 to 65535) such as 127.0.0.1:8080")


def _check_peer_address(path: str, value: Any) -> Iterator[Problem]:
    if not isinstance(value, str):
        return
    if not value.startswith("tcp://") or not _is_address(value.removeprefix("tcp://")):
        expected = "tcp://<IP address>:<port from 1 to 65535>, such as tcp://127.0.0.1:7000"
        yield problem_at(path, value, expected)


def _check_url(path: str, value: Any) -> Iterator[Problem]:
    if not isinstance(value, str):
        return
    try:
        parts = urlsplit(value)
    except ValueError:
        parts = urlsplit("")
    if parts.scheme != "http" or parts.path not in ("", "/") or not _is_address(parts.netloc):
        expected = "http://<IP address>:<port from 1 to 65535>, such as http://127.0.0.1:8080"
        yield problem_at(path, value, expected)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    return _is_ip(host) and bool(_PORT.fullmatch(port)) and int(port) <= 65535


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _check_controllers(settings: Settings) -> Iterator[Problem]:
    controllers = settings.controllers
    if not isinstance(controllers, tuple):
        return
    if len(controllers) not in CONTROLLER_COUNTS:
        shown = f"{len(controllers)} entries"
        yield Problem("controllers", shown, "1, 3 or 5 controllers, so that a majority is clear")
    for index, controller in enumerate(controllers):
        host_id = getattr(controller, "host_id", None)
        address = getattr(controller, "peer_address", None)
        yield from _check_name(f"controllers[{index}].host_id", host_id)
        yield from _check_peer_address(f"controllers[{index}].peer_address", address)
    for field in ("host_id", "peer_address"):
        values = [getattr(controller, field, None) for controller in controllers]
        yield from _check_distinct("controllers", field, values)


def _check_distinct(path: str, field: str, values: list[Any]) -> Iterator[Problem]:
    counts = Counter(value for value in values if isinstance(value, str))
    for index, value in enumerate(values):
        if isinstance(value, str) and counts[value] > 1 and values.index(value) != index:
            first = f"{path}[{values.index(value)}].{field}"
            yield problem_at(f"{path}[{index}].{field}", value, f"a value other than {first}")


def _check_keys(keys: Any) -> Iterator[Problem]:
    if keys is None:
        return
    well_formed = True
    for field in ("public", "secret"):
        value = getattr(keys, field, None)
        if isinstance(value, str) and not _is_curve_key(value):
            yield problem_at(
                f"keys.{field}", value, "40 characters of Z85 from `camphorvalve keys`"
            )
        well_formed = well_formed and isinstance(value, str) and _is_curve_key(value)
    if well_formed and zmq.curve_public(keys.secret.encode()) != keys.public.encode():
        yield problem_at("keys.public", keys.public, "the public key that belongs to keys.secret")


def _is_curve_key(text: str) -> bool:
    if len(text) != 40 or not text.isascii():
        return False
    try:
        z85.decode(text)
    except (ValueError, KeyError):
        return False
    return True


def _check_logging_and_metrics(settings: Settings) -> Iterator[Problem]:
    logging = settings.logging
    yield from _check_choice("logging.format", getattr(logging, "format", None), LOG_FORMATS)
    yield from _check_choice("logging.level", getattr(logging, "level", None), LOG_LEVELS)
    host = getattr(settings.metrics, "host", None)
    if isinstance(host, str) and not _is_ip(host):
        yield problem_at("metrics.host", host, "an IP address")
    port = getattr(settings.metrics, "port", None)
    if isinstance(port, int) and not 1 <= port <= 65535:
        yield problem_at("metrics.port", port, "a port from 1 to 65535")


def _check_choice(path: str, value: Any, choices: tuple[str, ...]) -> Iterator[Problem]:
    if isinstance(value, str) and value not in choices:
        yield problem_at(path, value, f"one of {', '.join(choices)}")


def _check_token(path: str, value: Any) -> Iterator[Problem]:
    if isinstance(value, str) and not re.fullmatch(r"[!-~]{8,}", value):
        yield problem_at(path, value, "at least 8 printable ASCII characters without spaces")


def _check_router(settings: RouterSettings) -> Iterator[Problem]:
    yield from _check_choice("policy", settings.policy, POLICIES)
    yield from _check_token("operator_token", settings.operator_token)
    callers = settings.callers if isinstance(settings.callers, tuple) else ()
    for index, caller in enumerate(callers):
        yield from _check_token(f"callers[{index}].token", getattr(caller, "token", None))
        teams = getattr(caller, "teams", None)
        if isinstance(teams, tuple) and not teams:
            yield Problem(f"callers[{index}].teams", "an empty list", "at least one team")
    yield from _check_distinct("callers", "token", [getattr(c, "token", None) for c in callers])
    lifetime_s, stop_s = settings.address_lifetime_s, settings.stop_timeout_s
    if _are_numbers(lifetime_s, stop_s) and stop_s < lifetime_s:
        expected = (
            f"at least address_lifetime_s ({lifetime_s:g}), for callers with a cached address"
        )
        yield problem_at("stop_timeout_s", stop_s, expected)


def _check_controller(settings: ControllerSettings) -> Iterator[Problem]:
    yield from _check_token("operator_token", settings.operator_token)
    yield from _check_token("order_token", settings.order_token)
    if isinstance(settings.data_folder, str) and not settings.data_folder.startswith("/"):
        yield problem_at("data_folder", settings.data_folder, "an absolute path")
    heartbeat_s, election_s = settings.heartbeat_s, settings.election_timeout_s
    if _are_numbers(heartbeat_s, election_s) and heartbeat_s * 3 > election_s:
        expected = f"at most a third of election_timeout_s ({election_s:g})"
        yield problem_at("heartbeat_s", heartbeat_s, expected)
    lost_s, replaced_s = settings.member_lost_s, settings.member_replaced_s
    if _are_numbers(lost_s, replaced_s) and replaced_s > lost_s:
        yield problem_at("member_replaced_s", replaced_s, f"at most member_lost_s ({lost_s:g})")
    if isinstance(settings.controllers, tuple):
        host_ids = [getattr(controller, "host_id", None) for controller in settings.controllers]
        if settings.host_id not in host_ids:
            yield Problem("controllers", "a list without this host", f"{settings.host_id!r} in it")


def _are_numbers(*values: Any) -> bool:
    return all(isinstance(value, (int, float)) for value in values)


__all__ = ["check"]
