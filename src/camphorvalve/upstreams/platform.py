"""Reader of the platform's membership feed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple, NotRequired, TypedDict

import anyio
import httpx
import msgspec
import structlog

from camphorvalve.model.hosts import Host, HostState, Role
from camphorvalve.model.upstreams import (
    ChecksFencing,
    IgnoresFencing,
    ModelEngine,
    PlainService,
    Upstream,
)
from camphorvalve.upstreams.fetching import FetchLimits, fetch_ok

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from camphorvalve.model.upstreams import FencingBehaviour, UpstreamInterface
    from camphorvalve.upstreams.client import UpstreamClient

Member = Host | Upstream
FEED_LIMITS = FetchLimits(timeout_s=5.0, body_bytes=16 << 20)

_log = structlog.get_logger(__name__)


class FeedError(Exception):
    """A response is not a valid list of members; the message names the field."""


class _Entry(TypedDict):
    id: str
    role: Role
    data_centre: str
    url: str
    state: HostState
    peer_address: NotRequired[str | None]
    pool: NotRequired[str | None]
    slots: NotRequired[int | None]
    fencing: NotRequired[Literal["checks", "ignores"] | None]


class _Feed(TypedDict):
    version: int
    members: list[_Entry]


class Members(NamedTuple):
    """A decoded response of the membership feed."""

    version: int
    members: list[Member]


_decoder = msgspec.json.Decoder(_Feed)


def decode_feed(content: bytes) -> Members:
    """
    Decode and validate the body of a response.

    :param content: JSON
    :return: version and members
    :raises FeedError: a field is missing or has a wrong value
    """
    try:
        feed = _decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise FeedError(str(error)) from error
    return Members(feed["version"], [_member(entry) for entry in feed["members"]])


async def follow(
    client: UpstreamClient, platform_url: str, host_id: str, interval_s: float
) -> AsyncGenerator[list[Member], None]:
    """
    Poll the membership feed without end.

    A repeated error is logged once; the poll after an error asks for the same changes again.

    :param client: HTTP client
    :param platform_url: base URL of the platform
    :param host_id: id of this host; the platform chooses the peer addresses that this host uses
    :param interval_s: time between polls
    :return: the complete list of members, then lists of changed members
    """
    after = 0
    reason = ""
    while True:
        try:
            version, members = await _poll(client, platform_url, host_id, after)
        except (httpx.HTTPError, FeedError) as error:
            reason = _log_failure(reason, f"{type(error).__name__}: {error}")
        else:
            if reason:
                _log.info("membership feed recovered")
            reason = ""
            if members:
                yield members
            # A lower version means that the platform lost its state; request the complete list.
            after = version if version >= after else 0
        await anyio.sleep(interval_s)


def _log_failure(previous: str, reason: str) -> str:
    """Log a failure unless the previous poll failed for the same reason."""
    if reason != previous:
        _log.warning("membership feed failed", reason=reason)
    return reason


async def _poll(client: UpstreamClient, platform_url: str, host_id: str, after: int) -> Members:
    url = f"{platform_url.rstrip('/')}/v1/members"
    params = {"after": after, "for": host_id}
    return decode_feed(await fetch_ok(client, url, FEED_LIMITS, params=params))


def _member(entry: _Entry) -> Member:
    match entry["role"]:
        case Role.ROUTER | Role.CONTROLLER:
            return Host(
                host_id=entry["id"],
                role=entry["role"],
                data_centre=entry["data_centre"],
                url=entry["url"],
                peer_address=_required(entry, "peer_address"),
                state=entry["state"],
            )
        case Role.ENGINE:
            return _upstream(entry, ModelEngine(_fencing(entry)))
        case Role.SERVICE:
            return _upstream(entry, PlainService())


def _upstream(entry: _Entry, interface: UpstreamInterface) -> Upstream:
    slots_count = int(_required(entry, "slots"))
    if slots_count < 1:
        raise FeedError(f"member {entry['id']!r}: slots must be at least 1, got {slots_count}")
    return Upstream(
        upstream_id=entry["id"],
        pool=_required(entry, "pool"),
        data_centre=entry["data_centre"],
        url=entry["url"],
        slots_count=slots_count,
        interface=interface,
        state=entry["state"],
    )


def _fencing(entry: _Entry) -> FencingBehaviour:
    # An engine that does not say so is assumed to accept stale orders.
    return ChecksFencing() if entry.get("fencing") == "checks" else IgnoresFencing()


def _required(entry: _Entry, field: Literal["peer_address", "pool", "slots"]) -> str:
    value = entry.get(field)
    if value is None:
        raise FeedError(f"member {entry['id']!r}: field {field!r} is missing")
    return str(value)


__all__ = ["FeedError", "Member", "Members", "decode_feed", "follow"]
