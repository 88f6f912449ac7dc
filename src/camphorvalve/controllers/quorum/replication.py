"""Runs the replicated log and state machine of a controller and handles the messages to them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
import structlog

from camphorvalve.consensus.driver import Applied, Driver, DriverOutput, Restored
from camphorvalve.consensus.events import (
    Accepted,
    ConfirmLeadership,
    LeaderChanged,
    Received,
    Rejected,
    Send,
    Tick,
)
from camphorvalve.consensus.members import host_of
from camphorvalve.consensus.messages import MESSAGES, Join
from camphorvalve.consensus.replica import Replica
from camphorvalve.consensus.roles import Leader, Timing
from camphorvalve.controllers.quorum.forwarding import CommandForwarder
from camphorvalve.controllers.quorum.machine import RegistryMachine
from camphorvalve.controllers.quorum.presence import Presence
from camphorvalve.controllers.quorum.proposals import Proposer
from camphorvalve.controllers.quorum.publishing import ConfigurationPublisher
from camphorvalve.controllers.quorum.reads import FollowerRead, LinearizableReads, LocalRead
from camphorvalve.controllers.quorum.recovery import Recovery
from camphorvalve.controllers.quorum.status import ControllerStatus, describe
from camphorvalve.controllers.quorum.submissions import NotLeaderError, PendingOutcome, Submissions
from camphorvalve.controllers.runtime import Outgoing, Sender
from camphorvalve.registry.commands import COMMAND_CODEC, TakeLeadership
from camphorvalve.reports.metrics import ControllerGauges
from camphorvalve.wire.messages import (
    ConfigPoll,
    Lookup,
    ReadReply,
    ReadRequest,
    Submit,
    SubmitReply,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from random import Random

    from camphorvalve.consensus.events import Event
    from camphorvalve.consensus.storage import Storage, SyncStats
    from camphorvalve.controllers.quorum.reads import Read
    from camphorvalve.registry.commands import Command
    from camphorvalve.registry.state import RegistryState
    from camphorvalve.settings.schema import ControllerSettings

TICK_S = 0.05
RECOVERY_INTERVAL_S = 0.5
JOIN_INTERVAL_S = 0.5

_log = structlog.get_logger(__name__)


class ReplicationController:
    """Owns the replica, its files and the replicated state of one controller process."""

    name = "replication"
    tick_s = TICK_S
    accepts: tuple[type, ...] = (
        *MESSAGES,
        ConfigPoll,
        Submit,
        SubmitReply,
        Lookup,
        ReadRequest,
        ReadReply,
    )

    def __init__(
        self,
        settings: ControllerSettings,
        storage: Storage,
        random: Random,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """
        Restore the state from the files.

        :param settings: settings of this controller
        :param storage: the opened files; closed by their owner
        :param random: random source of the election timeouts
        :param clock: monotonic time
        :param wall_clock: wall-clock time, for the retention of records
        """
        started_s = clock()
        self._settings = settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._machine = RegistryMachine()
        first_command = COMMAND_CODEC.encode(TakeLeadership(settings.host_id))
        timing = Timing(
            settings.election_timeout_s,
            settings.heartbeat_s,
            settings.member_lost_s,
            settings.member_replaced_s,
        )
        self._replica = Replica(storage.stored, timing, random, started_s, first_command)
        self._driver = Driver(self._replica, storage, self._machine, settings.snapshot_every_count)
        self._presence = Presence(settings.router_lost_s, started_s)
        self._recovery = self._new_recovery()
        self._submissions = Submissions()
        self._proposer = Proposer(
            self._replica,
            self._machine,
            self._submissions,
            self._step_replica,
            lambda: self.leader_id,
            settings.result_store_bytes,
        )
        self._reads = LinearizableReads(newest_id=int(started_s * 1e6))
        self._forwarder = CommandForwarder(f"{settings.host_id}/{started_s}")
        self._publisher = ConfigurationPublisher(self._presence)
        self._seeds = settings.seeds
        self._outbox: list[Outgoing] = []
        self._join_due_s = started_s
        self._recovery_due_s = started_s
        self._logged_members = self._replica.state.log.members
        self._flush_requested = anyio.Event()
        self.leads_since_s = started_s
        """Start of the newest leadership of this controller; before that, its own start."""

    @property
    def state(self) -> RegistryState:
        """:return: the replicated state as far as it is committed here; read-only"""
        return self._machine.state

    @property
    def leads(self) -> bool:
        """:return: whether this controller believes that it is the leader"""
        return self._replica.state.leader == self._replica.state.identity

    @property
    def leader_id(self) -> str | None:
        """:return: host id of the leader, if known"""
        leader = self._replica.state.leader
        return None if leader is None else host_of(leader)

    def gauges(self, sync_stats: SyncStats) -> ControllerGauges:
        """
        Collect the current values of the metrics.

        :param sync_stats: statistics of the log syncs since the previous call
        :return: the values
        """
        replica = self._replica.state
        return ControllerGauges(
            configuration_revision=self.state.configuration.revision,
            term=replica.term,
            leads=int(self.leads),
            commit_index=replica.commit_index,
            unsettled_count=self.state.records.unsettled_count,
            stored_bytes=self.state.records.answers_bytes,
            log_bytes=self._driver.since_snapshot_bytes,
            syncs_count=sync_stats.count,
            sync_longest_ms=round(sync_stats.longest_s * 1000, 3),
        )

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """
        Replace the seeds after a change of the settings.

        :param seeds: ids of some controllers
        """
        self._seeds = tuple(seeds)

    def controller_ids(self) -> tuple[str, ...]:
        """:return: ids of all controllers that are known, this one included"""
        configured = [controller.host_id for controller in self._settings.controllers]
        members = map(host_of, self._replica.state.log.members)
        return tuple(dict.fromkeys([self._settings.host_id, *configured, *self._seeds, *members]))

    def peer_ids(self) -> tuple[str, ...]:
        """:return: ids of all processes that this one sends messages to"""
        return (*self.controller_ids(), *self._learner_ids(), *self._presence.routers)

    def lease_valid(self, now_s: float) -> bool:
        """
        Check whether this controller leads and no other one can be leader yet.

        :param now_s: monotonic time
        :return: whether the lease holds
        """
        return self._replica.lease_valid(now_s)

    def lease_until_s(self, now_s: float) -> float | None:
        """
        Return when the lease of this controller ends unless it is renewed.

        :param now_s: monotonic time
        :return: monotonic time, ``None`` if this controller does not lead
        """
        return self._replica.lease_until_s(now_s)

    def status(self) -> ControllerStatus:
        """
        Describe this controller for operators.

        :return: body of the status response
        """
        return describe(self._replica, self._machine.state, self._presence, self._clock())

    async def run(self, send: Callable[[Iterable[Outgoing]], None]) -> None:
        """
        Flush as soon as a flush is requested; without this task only the ticks flush.

        :param send: sends messages
        """
        while True:
            await self._flush_requested.wait()
            self._flush_requested = anyio.Event()
            # Lets the link deliver all messages that have arrived, so that one sync covers them.
            await anyio.lowlevel.checkpoint()
            # One by one, so that entries go out to the other controllers before the local sync.
            for outgoing in self.flush(self._clock()):
                send((outgoing,))

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Handle a message; replies that need a sync first are returned by ``flush``.

        :param sender: the sending process
        :param message: value of one of the types in ``accepts``
        :param now_s: monotonic time
        :return: messages to send
        """
        match message:
            case ConfigPoll():
                self._presence.record_message(sender, message, now_s)
                yield from self._publisher.answer(
                    sender.host_id,
                    message,
                    self.state,
                    self.controller_ids(),
                    self._replica.state.term,
                    now_s,
                )
            case ReadRequest(read_id):
                yield from self._start_read(FollowerRead(sender.host_id, read_id), now_s)
            case ReadReply():
                self._reads.handle_reply(message)
            case SubmitReply():
                self._forwarder.handle_reply(message)
            case Submit():
                # A router may submit before its first poll arrives and must not be counted as lost.
                self._presence.record_message(sender, None, now_s)
                yield from self._proposer.submit(sender, message, now_s)
            case Lookup():
                yield self._proposer.look_up(sender, message, now_s)
            case Join() if not self.leads and self.leader_id is not None:
                # A new controller may know only followers, but only the leader can add it.
                yield Outgoing(self.leader_id, message)
            case _:
                if self._is_trusted(sender, message):
                    yield from self._step_replica(Received(message), now_s)
        yield from self._complete_reads(now_s)
        self._request_flush()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Run what is due: heartbeats, elections, recovery of lost routers, expiry.

        :param now_s: monotonic time
        :return: messages to send
        """
        yield from self._step_replica(Tick(), now_s)
        if now_s >= self._join_due_s and self._replica.state.wants_to_join:
            self._join_due_s = now_s + JOIN_INTERVAL_S
            join = Join(self._replica.state.identity)
            for host_id in self.controller_ids():
                if host_id != self._settings.host_id:
                    yield Outgoing(host_id, join)
        if now_s >= self._recovery_due_s:
            self._recovery_due_s = now_s + RECOVERY_INTERVAL_S
            self._submissions.expire(now_s)
            self._presence.forget(now_s)
            self._reads.expire(now_s)
            if self.leads:
                yield from self._recover(now_s)
        yield from self._complete_reads(now_s)
        yield from self.flush(now_s)
        self._log_member_changes()

    def flush(self, now_s: float) -> Iterator[Outgoing]:
        """
        Return the queued messages, then sync pending changes to disk and return the messages that
        depend on them.

        :param now_s: monotonic time
        :return: messages to send
        """
        outbox, self._outbox = self._outbox, []
        yield from outbox
        yield from self._handle_outputs(self._driver.flush(now_s), now_s)

    def submit(self, command: Command, now_s: float) -> PendingOutcome:
        """
        Submit a command to the local replica; it is refused unless this controller leads.

        :param command: the command
        :param now_s: monotonic time
        :return: future for the outcome
        """
        pending = PendingOutcome()
        self._outbox.extend(self._proposer.propose(command, pending, now_s))
        self._request_flush()
        return pending

    def submit_anywhere(self, command: Command, now_s: float) -> PendingOutcome:
        """
        Submit a command to the leader, which may be another controller.

        :param command: the command
        :param now_s: monotonic time
        :return: future for the outcome
        """
        leader_id = self.leader_id
        if leader_id in (None, self._settings.host_id):
            return self.submit(command, now_s)
        pending, outgoing = self._forwarder.submit(leader_id, command)
        self._outbox.append(outgoing)
        self._request_flush()
        return pending

    def forget(self, pending: PendingOutcome) -> None:
        """
        Stop waiting for a command that was forwarded to the leader.

        :param pending: from ``submit_anywhere``
        """
        self._forwarder.forget(pending)

    async def read(self, now_s: float) -> None:
        """
        Wait until the local state holds everything that was committed before the call.

        :param now_s: monotonic time
        :raises NotLeaderError: no leader is known, or the leader has lost its majority
        """
        read = LocalRead(PendingOutcome())
        leader_id = self.leader_id
        if leader_id is None:
            raise NotLeaderError(None)
        if leader_id == self._settings.host_id:
            self._outbox.extend(self._start_read(read, now_s))
        else:
            read_id = self._reads.forward(read, now_s)
            self._outbox.append(Outgoing(leader_id, ReadRequest(read_id)))
        self._request_flush()
        await read.pending.wait()

    def _start_read(self, read: Read, now_s: float) -> Iterator[Outgoing]:
        if self._replica.majority_acked_s(now_s) is None:
            yield from self._reads.refuse(read)
            return
        self._reads.start(read, self._replica.state.commit_index, now_s)
        yield from self._step_replica(ConfirmLeadership(), now_s)
        yield from self._complete_reads(now_s)

    def _complete_reads(self, now_s: float) -> Iterator[Outgoing]:
        if self._reads.has_open:
            majority_acked_s = self._replica.majority_acked_s(now_s)
            yield from self._reads.complete(majority_acked_s, self._driver.applied_index)

    def _learner_ids(self) -> Iterator[str]:
        match self._replica.state.role:
            case Leader(progress=progress):
                yield from map(host_of, progress)

    def _recover(self, now_s: float) -> Iterator[Outgoing]:
        # A new leader first has to apply what earlier leaders have committed.
        if not self.lease_valid(now_s):
            return
        records = self.state.records
        commands = list(self._recovery.proposals(records, self._presence, now_s))
        expiry = self._recovery.expiry(records, self._wall_clock(), now_s)
        for command in commands if expiry is None else [*commands, expiry]:
            yield from self._proposer.propose(command, None, now_s)
        yield from self._recovery.assignments(records, self._presence, now_s)

    def _step_replica(self, event: Event, now_s: float) -> Iterator[Outgoing]:
        yield from self._handle_outputs(self._driver.step(event, now_s), now_s)

    def _handle_outputs(self, outputs: Iterable[DriverOutput], now_s: float) -> Iterator[Outgoing]:
        for output in outputs:
            match output:
                case Send(message=message):
                    yield Outgoing(host_of(message.receiver), message)
                case Accepted(proposal_id, index, term):
                    self._submissions.record_position(proposal_id, index, term)
                case Rejected(proposal_id, _):
                    yield from self._submissions.refuse(proposal_id, self.leader_id)
                case Applied(index, term, outcome):
                    yield from self._submissions.answer(index, term, outcome, self.leader_id)
                    if self.leads:
                        current_term = self._replica.state.term
                        yield from self._publisher.push(self.state, current_term, now_s)
                case LeaderChanged(term, leader):
                    self._handle_leader_change(term, leader, now_s)
                case Restored(index):
                    _log.info("state restored from the snapshot of the leader", index=index)

    def _log_member_changes(self) -> None:
        replica = self._replica.state
        members, logged = replica.log.members, self._logged_members
        if members == logged:
            return
        self._logged_members = members
        _log.info(
            "members changed",
            term=replica.term,
            added=[member for member in members if member not in logged],
            removed=[member for member in logged if member not in members],
            members_count=len(members),
        )

    def _handle_leader_change(self, term: int, leader: str | None, now_s: float) -> None:
        _log.info("leader changed", term=term, leader=leader)
        if leader == self._replica.state.identity:
            # This host may have been cut off or suspended, so that the silence of routers counts
            # from now on only.
            self._presence.started_s = now_s
            self.leads_since_s = now_s
            self._recovery = self._new_recovery()
        else:
            self._submissions.abandon()

    def _new_recovery(self) -> Recovery:
        return Recovery(self._settings.result_retention_s, self._settings.result_store_bytes)

    def _is_trusted(self, sender: Sender, message: Any) -> bool:
        if bool(self._seeds) and isinstance(message, Join):
            return True
        allowed = bool(self._seeds) or sender.host_id in self.controller_ids()
        if allowed and host_of(message.sender) == sender.host_id:
            return True
        _log.warning(
            "message from an unexpected sender dropped",
            host_id=sender.host_id,
            message_type=type(message).__name__,
        )
        return False

    def _request_flush(self) -> None:
        if self._driver.unflushed or self._outbox:
            self._flush_requested.set()


__all__ = ["ReplicationController"]
