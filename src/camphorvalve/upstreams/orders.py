"""Sends orders, such as loading a model, to engines and reads the engines' state."""

from __future__ import annotations

import time
from dataclasses import asdict
from typing import TYPE_CHECKING, Any, NamedTuple

import httpx
import msgspec

from camphorvalve.model.upstreams import ChecksFencing, ModelEngine
from camphorvalve.upstreams.fetching import DocumentError, FetchLimits, fetch, fetch_document
from camphorvalve.upstreams.orderreplies import (
    Accepted,
    EngineState,
    InDoubt,
    OrderReply,
    Refused,
    Stale,
    Unsent,
)

if TYPE_CHECKING:
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.registry.commands import EngineAction
    from camphorvalve.upstreams.client import UpstreamClient
    from camphorvalve.upstreams.fetching import FetchedResponse

ORDER_LIMITS = FetchLimits(timeout_s=1.0, body_bytes=64 << 10)
STATE_LIMITS = FetchLimits(timeout_s=2.0, body_bytes=1 << 20)
_WRITE_EVENTS = frozenset(
    {"http11.send_request_headers.started", "http11.send_request_body.started"}
)


class EngineOrder(NamedTuple):
    """An order as it is sent to an engine."""

    order_id: str
    fencing_number: int
    action: EngineAction


class OrderingError(Exception):
    """An engine's state could not be read; the message names the engine and the cause."""


class _LeaseEndedError(Exception):
    """The lease ended before the order was written."""


async def send_order(
    client: UpstreamClient,
    upstream: Upstream,
    order: EngineOrder,
    token: str | None,
    lease_end_s: float,
) -> OrderReply:
    """
    Send one order, unless the leader's lease ends before it is written.

    :param client: client with ``unacknowledged_timeout_s``, so that the kernel does not deliver the
        order late
    :param upstream: the engine
    :param order: the order
    :param token: bearer token for engines that authenticate the sender
    :param lease_end_s: monotonic time at which the lease ends
    :return: whether the engine accepted the order, as far as is known
    """
    sent = False

    async def check_lease(event: str, info: dict[str, Any]) -> None:
        nonlocal sent
        if event not in _WRITE_EVENTS:
            return
        # Catches a process that was suspended while connecting or after sending the headers.
        if time.monotonic() >= lease_end_s:
            raise _LeaseEndedError
        sent = sent or event.endswith("body.started")

    try:
        response = await fetch(
            client,
            "POST",
            f"{upstream.url.rstrip('/')}/v1/orders",
            ORDER_LIMITS,
            content=_encode(order),
            headers={"Content-Type": "application/json", **_authorisation(token)},
            extensions={"trace": check_lease},
        )
    except _LeaseEndedError:
        return Unsent("the lease ended before the order was written")
    except httpx.HTTPError as error:
        cause = f"{type(error).__name__}: {error}"
        return InDoubt(cause) if sent else Unsent(cause)
    return _reply(upstream, response)


async def read_state(client: UpstreamClient, upstream: Upstream) -> EngineState:
    """
    Read the state of an engine's orders and what it has loaded.

    :param client: HTTP client
    :param upstream: the engine
    :return: its state
    :raises OrderingError: no response, or an invalid one
    """
    try:
        return await fetch_document(client, upstream, "/v1/state", STATE_LIMITS, EngineState)
    except DocumentError as error:
        raise OrderingError(str(error)) from error


def _encode(order: EngineOrder) -> bytes:
    action = {"type": type(order.action).__name__, **asdict(order.action)}
    return msgspec.json.encode({**order._asdict(), "action": action})


def _authorisation(token: str | None) -> dict[str, str]:
    return {} if token is None else {"Authorization": f"Bearer {token}"}


def _reply(upstream: Upstream, response: FetchedResponse) -> OrderReply:
    fencing = upstream.interface.fencing if isinstance(upstream.interface, ModelEngine) else None
    match (fencing, response.status_code):
        case (_, 200 | 202):
            return Accepted()
        case (ChecksFencing(), 409):
            return Stale()
        case (_, status) if status < 500:
            return Refused(f"status {status}: {response.text[:200]}")
        case (_, status):
            return InDoubt(f"status {status}: {response.text[:200]}")


__all__ = ["EngineOrder", "OrderingError", "read_state", "send_order"]
