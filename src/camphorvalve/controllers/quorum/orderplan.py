"""Decides when each order is sent to its engine; does no input or output."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.controllers.quorum.ordersteps import (
    Leadership,
    OpenOrder,
    OrderTiming,
    ReadState,
    SendOrder,
    Settle,
    Step,
)
from camphorvalve.controllers.quorum.weightstore import LoadPacer
from camphorvalve.model.upstreams import ChecksFencing, IgnoresFencing, ModelEngine, PlainService
from camphorvalve.registry.commands import ChangeRole, LoadAdapter, LoadModel
from camphorvalve.upstreams.orderreplies import Accepted, InDoubt, Refused, Stale, Unsent

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from camphorvalve.model.upstreams import FencingBehaviour, Upstream
    from camphorvalve.registry.commands import EngineAction
    from camphorvalve.upstreams.orderreplies import EngineState, OrderReply


class _EngineProgress:
    """What this leadership knows about one engine."""

    def __init__(self) -> None:
        self.busy = False
        """Whether a request to the engine is in progress."""
        self.asked_s = float("-inf")
        """When ``state`` was requested."""
        self.state: EngineState | None = None
        """Newest state read from the engine."""
        self.next_read_s = float("-inf")
        self.min_asked_s = float("-inf")
        """A state that was requested before this time is ignored."""
        self.unreadable_since_s = float("inf")
        """When the first of the reads that have failed in a row was requested."""


class _OrderProgress:
    """What this leadership knows about one order."""

    def __init__(self, now_s: float) -> None:
        self.first_seen_s = now_s
        self.sent = False
        """Whether the engine has accepted the order or reports that it is running."""
        self.charged = False
        """Whether the load has been charged to the rate limit of the weight store."""
        self.tries_count = 0
        self.stale = False
        self.cause = ""
        """Why the last attempt to send the order failed."""
        self.settled: Settle | None = None
        """The outcome, once it is known."""
        self.proposed_s = float("-inf")
        """When the outcome was last proposed."""


class OrderPlan:
    """Tracks the open orders while this controller leads, and derives the next steps from them."""

    def __init__(
        self,
        weight_store_bytes_per_s: float,
        timing: OrderTiming = OrderTiming(),  # noqa: B008 -- immutable
    ) -> None:
        """
        Start without leadership.

        :param weight_store_bytes_per_s: average rate of the loads that may be started
        :param timing: intervals, timeouts and the limit on attempts
        """
        self._rate_bytes_per_s = weight_store_bytes_per_s
        self._load_pacer = LoadPacer(weight_store_bytes_per_s)
        self._timing = timing
        self._since_s: float | None = None
        self._engines: dict[str, _EngineProgress] = {}
        self._orders: dict[int, _OrderProgress] = {}

    def steps(
        self,
        now_s: float,
        leadership: Leadership | None,
        orders: Iterable[OpenOrder],
        upstreams: Mapping[str, Upstream],
    ) -> Iterator[Step]:
        """
        Decide on the next steps; the result of a step is passed to one of the other methods.

        :param now_s: monotonic time
        :param leadership: ``None`` unless this controller leads
        :param orders: all open orders
        :param upstreams: upstreams by id
        :return: steps to execute now; none once the lease has ended
        """
        if leadership is None or now_s >= leadership.lease_until_s:
            return
        if leadership.since_s != self._since_s:
            self._start_leadership(leadership.since_s)
        open_orders = sorted(orders)
        self._orders = {
            order.index: self._orders.get(order.index) or _OrderProgress(now_s)
            for order in open_orders
        }
        handled: set[str] = set()
        for order in open_orders:
            # Orders to the same engine are carried out one after the other.
            if order.upstream_id not in handled:
                handled.add(order.upstream_id)
                upstream = upstreams.get(order.upstream_id)
                yield from self._order_steps(now_s, leadership, order, upstream)

    def state_read(self, step: ReadState, asked_s: float, state: EngineState | None) -> None:
        """
        Record the result of a ``ReadState`` step.

        :param step: the step
        :param asked_s: monotonic time at which the request was sent
        :param state: the state, ``None`` if it could not be read
        """
        if step.since_s != self._since_s:
            return
        engine = self._engine(step.upstream.upstream_id)
        engine.busy = False
        engine.next_read_s = asked_s + self._timing.poll_s
        if state is None:
            engine.unreadable_since_s = min(engine.unreadable_since_s, asked_s)
            return
        engine.unreadable_since_s = float("inf")
        engine.asked_s = asked_s
        engine.state = state

    def order_answered(self, step: SendOrder, reply: OrderReply, now_s: float) -> None:
        """
        Record the result of a ``SendOrder`` step.

        :param step: the step
        :param reply: result of sending the order
        :param now_s: monotonic time
        """
        if step.since_s != self._since_s:
            return
        order = step.order
        engine = self._engine(order.upstream_id)
        engine.busy = False
        engine.min_asked_s = now_s
        progress = self._orders.get(order.index)
        if progress is None:
            return
        match reply:
            case Accepted():
                progress.sent = True
            case Stale():
                progress.stale = True
            case Refused(cause):
                progress.settled = Settle(order.index, "refused", cause)
            case Unsent(cause):
                progress.cause = cause
                engine.next_read_s = now_s + self._timing.poll_s
            case InDoubt(cause):
                progress.cause = cause
                # The order may still arrive until then, whatever an earlier state shows.
                engine.min_asked_s = now_s + self._timing.delivery_s

    def _start_leadership(self, since_s: float) -> None:
        self._since_s = since_s
        self._load_pacer = LoadPacer(self._rate_bytes_per_s)
        self._engines.clear()
        self._orders.clear()

    def _engine(self, upstream_id: str) -> _EngineProgress:
        return self._engines.setdefault(upstream_id, _EngineProgress())

    def _order_steps(
        self, now_s: float, leadership: Leadership, order: OpenOrder, upstream: Upstream | None
    ) -> Iterator[Step]:
        progress = self._orders[order.index]
        if progress.settled is None:
            progress.settled = self._outcome_without_sending(now_s, order, progress, upstream)
        if progress.settled is not None:
            yield from self._settle_steps(now_s, progress, progress.settled)
            return
        if upstream is None or not isinstance(upstream.interface, ModelEngine):
            return
        earliest_read_s = self._earliest_read_s(leadership, upstream.interface.fencing)
        yield from self._engine_steps(now_s, leadership, order, upstream, earliest_read_s)

    def _outcome_without_sending(
        self, now_s: float, order: OpenOrder, progress: _OrderProgress, upstream: Upstream | None
    ) -> Settle | None:
        if upstream is None:
            if now_s < progress.first_seen_s + self._timing.unknown_s:
                return None
            return Settle(order.index, "failed", f"upstream {order.upstream_id!r} is not a member")
        if isinstance(upstream.interface, PlainService):
            return Settle(order.index, "refused", "plain services take no orders")
        if now_s >= self._engine(order.upstream_id).unreadable_since_s + self._timing.unknown_s:
            return Settle(order.index, "failed", "the engine's state cannot be read")
        return None

    def _settle_steps(
        self, now_s: float, progress: _OrderProgress, settle: Settle
    ) -> Iterator[Step]:
        if now_s >= progress.proposed_s + self._timing.settle_s:
            progress.proposed_s = now_s
            yield settle

    def _earliest_read_s(self, leadership: Leadership, fencing: FencingBehaviour) -> float:
        """Return the time from which no order of an earlier leader can take effect any more."""
        match fencing:
            case ChecksFencing():
                return leadership.since_s
            case IgnoresFencing():
                wait_s = self._timing.lease_s + self._timing.drift_s + self._timing.delivery_s
                return leadership.since_s + wait_s

    def _engine_steps(
        self,
        now_s: float,
        leadership: Leadership,
        order: OpenOrder,
        upstream: Upstream,
        earliest_read_s: float,
    ) -> Iterator[Step]:
        engine = self._engine(order.upstream_id)
        progress = self._orders[order.index]
        min_asked_s = max(earliest_read_s, engine.min_asked_s)
        if engine.busy or now_s < min_asked_s:
            return
        state = engine.state if engine.asked_s >= min_asked_s else None
        if state is not None:
            progress.settled = self._outcome_from_state(now_s, order, progress, state)
        if progress.settled is not None:
            yield from self._settle_steps(now_s, progress, progress.settled)
        elif state is not None and not progress.sent:
            yield from self._send_steps(now_s, leadership, order, upstream)
        elif now_s >= engine.next_read_s:
            engine.busy = True
            yield ReadState(leadership.since_s, upstream)

    def _send_steps(
        self, now_s: float, leadership: Leadership, order: OpenOrder, upstream: Upstream
    ) -> Iterator[Step]:
        progress = self._orders[order.index]
        if not progress.charged and not self._load_pacer.may_start(order.action, now_s):
            return
        self._engine(order.upstream_id).busy = True
        progress.tries_count += 1
        self._charge(now_s, order, progress)
        yield SendOrder(leadership.since_s, order, upstream, leadership.lease_until_s)

    def _outcome_from_state(
        self, now_s: float, order: OpenOrder, progress: _OrderProgress, state: EngineState
    ) -> Settle | None:
        """Derive the outcome from the engine state; orders of earlier leaders count as sent."""
        states = {entry["order_id"]: entry["state"] for entry in state["orders"]}
        match states.get(order.order_id):
            case "done":
                return Settle(order.index, "done", "")
            case "failed":
                return Settle(order.index, "failed", "the engine reports a failure")
            case "running":
                progress.sent = True
                self._charge(now_s, order, progress)
                return None
        if _is_in_place(order.action, state):
            return Settle(order.index, "done", "already in place")
        if progress.stale:
            return Settle(order.index, "refused", f"fencing number {order.fencing_number} is stale")
        if progress.sent or progress.tries_count >= self._timing.tries_count:
            cause = progress.cause or "the engine does not list the order"
            return Settle(order.index, "failed", cause)
        return None

    def _charge(self, now_s: float, order: OpenOrder, progress: _OrderProgress) -> None:
        if not progress.charged:
            progress.charged = True
            self._load_pacer.charge(order.action, now_s)


def _is_in_place(action: EngineAction, state: EngineState) -> bool:
    match action:
        case LoadModel(model, version, _):
            return {"model": model, "version": version} in state["models"]
        case LoadAdapter(model, adapter, _):
            return {"model": model, "adapter": adapter} in state["adapters"]
        case ChangeRole():
            # The role proves nothing: another order may have changed it back before this state was
            # read.
            return False


__all__ = ["OrderPlan"]
