"""Filter that waits for a grant, and frees the slot when the response has ended."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio

from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Stage
from camphorvalve.sharing.affinity import PrefixAffinity
from camphorvalve.sharing.backlog import Waiter
from camphorvalve.sharing.ledger import TeamKey
from camphorvalve.upstreams.errors import NotSent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.controllers.router.demand import DemandController
    from camphorvalve.controllers.runtime import Runtime
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

WAIT_FACTOR = 10.0
"""Maximum wait as a multiple of the objective; accepted work waits without limit."""
WAIT_MIN_S = 60.0


class AdmissionFilter:
    """Binds a request to an upstream as late as possible."""

    def __init__(self, demand: DemandController, runtime: Runtime) -> None:
        """
        Prepare the filter.

        :param demand: manages the waiting requests
        :param runtime: sends messages
        """
        self._demand = demand
        self._runtime = runtime
        self._affinity = PrefixAffinity()

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Wait for a grant, run the rest of the chain, free the slot.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the response
        :raises RequestError: the request was shed, waited too long, or no upstream serves its pool
        """
        waiter = await self._wait_for_grant(exchange)
        running = self._demand.started(waiter)
        exchange.stage = Stage.RUNNING
        exchange.upstream_id = running.grant.upstream_id
        exchange.served_units = 0.0
        if exchange.prefix is not None:
            self._affinity.note(exchange.prefix, exchange.upstream_id, time.monotonic())
        exchange.note(time.monotonic(), f"granted {exchange.upstream_id} by {waiter.scheduler_id}")
        release = None
        try:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    running.units = exchange.served_units
                    yield part
        except NotSent:
            release = self._demand.returned(running.grant, waiter.scheduler_id, True)
            raise
        finally:
            running.units = exchange.served_units
            self._runtime.send(release or self._demand.finished(running))

    async def _wait_for_grant(self, exchange: Exchange) -> Waiter:
        waiter, event = self._enqueue(exchange)
        exchange.stage = Stage.WAITING
        try:
            await event.wait()
        except BaseException:
            self._cancel_wait(waiter)
            raise
        if waiter.error is not None:
            raise waiter.error
        return waiter

    def _affine_upstream(self, exchange: Exchange, now_s: float) -> str | None:
        if exchange.prefix is None:
            return None
        return self._affinity.upstream_of(exchange.prefix, now_s)

    def _cancel_wait(self, waiter: Waiter) -> None:
        if waiter.grant is None:
            self._demand.withdraw(waiter)
            return
        self._runtime.send(self._demand.returned(waiter.grant, waiter.scheduler_id, False))

    def _enqueue(self, exchange: Exchange) -> tuple[Waiter, anyio.Event]:
        parameters, team = exchange.parameters, exchange.team
        assert parameters is not None and team is not None
        now_s = time.monotonic()
        if not self._demand.has_upstreams(parameters.pool):
            raise RequestError(
                "no_upstream", f"no upstream of pool {parameters.pool!r} is live", retry_after_s=1.0
            )
        event = anyio.Event()
        max_wait_s = max(WAIT_MIN_S, WAIT_FACTOR * parameters.objective_s)
        waiter = Waiter(
            key=TeamKey(parameters.pool, team.name),
            kind=exchange.kind,
            urgency=parameters.urgency,
            size_bytes=len(exchange.request.body),
            estimate_units=self._demand.estimates.estimate_units(
                parameters.pool, team.name, exchange.kind, exchange.request.cost_hint_units
            ),
            arrived_s=exchange.received_s,
            deadline_s=float("inf") if exchange.request.deferred else now_s + max_wait_s,
            wake=event.set,
            accepted=exchange.request.deferred,
            affine_upstream=self._affine_upstream(exchange, now_s),
            excluded_upstreams=frozenset(exchange.failed_upstreams),
        )
        exchange.note(now_s, f"waits in {parameters.pool}, {parameters.urgency.name.lower()}")
        self._runtime.send(self._demand.enqueue(waiter, now_s))
        return waiter, event


__all__ = ["AdmissionFilter"]
