"""The replicated log and state machine of a controller process, and who talks to them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
import structlog

from camphorvalve.consensus.driver import Applied, Driver, Report, Restored
from camphorvalve.consensus.events import (
    Accepted,
    Confirm,
    LeaderChanged,
    Received,
    Refused,
    Send,
    Tick,
)
from camphorvalve.consensus.members import host_of
from camphorvalve.consensus.messages import MESSAGES, Join
from camphorvalve.consensus.replica import Replica
from camphorvalve.consensus.roles import Leader, Timing
from camphorvalve.controllers.forwarding import Forwarding
from camphorvalve.controllers.informing import Informing
from camphorvalve.controllers.machine import RegistryMachine
from camphorvalve.controllers.presence import Presence
from camphorvalve.controllers.proposals import Proposals
from camphorvalve.controllers.reads import FollowerRead, LocalRead, Reads
from camphorvalve.controllers.recovery import Recovery
from camphorvalve.controllers.runtime import Outgoing, Sender
from camphorvalve.controllers.status import ControllerStatus, describe
from camphorvalve.controllers.submissions import NotLeaderError, Pending, Submissions
from camphorvalve.registry.commands import COMMAND_CODEC, TakeLeadership
from camphorvalve.reports.metrics import ControllerLevels
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
    from camphorvalve.consensus.storage import Storage, Syncs
    from camphorvalve.controllers.reads import Read
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
        :param random: source of the election timeouts
        :param clock: monotonic time
        :param wall_clock: wall-clock time, for the retention of records
        """
        started_s = clock()
        self._settings = settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._machine = RegistryMachine()
        opening = COMMAND_CODEC.encode(TakeLeadership(settings.host_id))
        timing = Timing(settings.election_timeout_s, settings.heartbeat_s, settings.member_lost_s)
        self._replica = Replica(storage.stored, timing, random, started_s, opening)
        self._driver = Driver(self._replica, storage, self._machine, settings.snapshot_every_count)
        self._presence = Presence(settings.router_lost_s, started_s)
        self._recovery = self._new_recovery()
        self._submissions = Submissions()
        self._proposals = Proposals(
            self._replica,
            self._machine,
            self._submissions,
            self._step,
            lambda: self.leader_id,
            settings.result_store_bytes,
        )
        self._reads = Reads()
        self._forwarding = Forwarding(f"{settings.host_id}/{started_s}")
        self._informing = Informing(self._presence)
        self._seeds = settings.seeds
        self._outbox: list[Outgoing] = []
        self._join_due_s = started_s
        self._recovery_due_s = started_s
        self._wake = anyio.Event()
        self.leads_since_s = started_s
        """Start of the newest leadership of this controller."""

    @property
    def state(self) -> RegistryState:
        """:return: the replicated state as far as it is committed here; not to be changed"""
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

    def levels(self, syncs: Syncs) -> ControllerLevels:
        """
        Read what the metrics show.

        :param syncs: syncs of the log since the last reading
        :return: the levels
        """
        own = self._replica.state
        return ControllerLevels(
            configuration_revision=self.state.configuration.revision,
            term=own.term,
            leads=int(self.leads),
            commit_index=own.commit_index,
            unsettled_count=self.state.records.unsettled_count,
            stored_bytes=self.state.records.answers_bytes,
            log_bytes=self._driver.since_snapshot_bytes,
            syncs_count=syncs.count,
            sync_longest_ms=round(syncs.longest_s * 1000, 3),
        )

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """
        Replace the seeds, as the settings have changed.

        :param seeds: ids of some controllers
        """
        self._seeds = tuple(seeds)

    def controller_ids(self) -> tuple[str, ...]:
        """:return: ids of all controllers that are known, this one included"""
        listed = [one.host_id for one in self._settings.controllers]
        members = map(host_of, self._replica.state.log.members)
        return tuple(dict.fromkeys([self._settings.host_id, *listed, *self._seeds, *members]))

    def peer_ids(self) -> tuple[str, ...]:
        """:return: ids of all processes that this one sends to"""
        return (*self.controller_ids(), *self._learner_ids(), *self._presence.routers)

    def lease_valid(self, now_s: float) -> bool:
        """
        Tell whether this controller leads and no other one can lead yet.

        :param now_s: monotonic time
        :return: whether the lease holds
        """
        return self._replica.lease_valid(now_s)

    def lease_until_s(self, now_s: float) -> float | None:
        """
        Tell when this controller's lease ends unless it is renewed.

        :param now_s: monotonic time
        :return: monotonic time, ``None`` unless it leads
        """
        return self._replica.lease_until_s(now_s)

    def status(self) -> ControllerStatus:
        """
        Describe this controller for operators.

        :return: the body of the status answer
        """
        return describe(self._replica, self._machine.state, self._presence, self._clock())

    async def run(self, send: Callable[[Iterable[Outgoing]], None]) -> None:
        """
        Flush whenever something waits; without it the ticks flush, later.

        :param send: sends messages
        """
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            # Lets the link hand over all messages that have arrived, so that one sync serves them.
            await anyio.lowlevel.checkpoint()
            # One by one, so that entries leave for the other controllers before the sync here.
            for outgoing in self.flush(self._clock()):
                send((outgoing,))

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Take one message; answers that need a sync come from ``flush``.

        :param sender: the sending process
        :param message: value of one of the types in ``accepts``
        :param now_s: monotonic time
        :return: messages to send
        """
        match message:
            case ConfigPoll():
                self._presence.note(sender, message, now_s)
                yield from self._informing.answer(
                    sender.host_id,
                    message,
                    self.state,
                    self.controller_ids(),
                    self._replica.state.term,
                    now_s,
                )
            case ReadRequest(read_id):
                yield from self._begin_read(FollowerRead(sender.host_id, read_id), now_s)
            case ReadReply():
                self._reads.answer(message)
            case SubmitReply():
                self._forwarding.settle(message)
            case Submit():
                # A router may submit before its first poll arrives, and must not count as lost.
                self._presence.note(sender, None, now_s)
                yield from self._proposals.submit(sender, message, now_s)
            case Lookup():
                yield self._proposals.look_up(sender, message, now_s)
            case Join() if not self.leads and self.leader_id is not None:
                # A new controller may know only followers; the leader alone brings it up to date.
                yield Outgoing(self.leader_id, message)
            case _:
                if self._trusts(sender, message):
                    yield from self._step(Received(message), now_s)
        yield from self._settle_reads(now_s)
        self._rouse()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Do what is due: heartbeats, elections, lost routers, expiry.

        :param now_s: monotonic time
        :return: messages to send
        """
        yield from self._step(Tick(), now_s)
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
        yield from self._settle_reads(now_s)
        yield from self.flush(now_s)

    def flush(self, now_s: float) -> Iterator[Outgoing]:
        """
        Make everything durable that has come up, then send what waited for it.

        :param now_s: monotonic time
        :return: messages to send
        """
        outbox, self._outbox = self._outbox, []
        yield from outbox
        yield from self._carry_out(self._driver.flush(now_s), now_s)

    def submit(self, command: Command, now_s: float) -> Pending:
        """
        Submit a command of this process.

        :param command: the command
        :param now_s: monotonic time
        :return: to wait for the outcome
        """
        pending = Pending()
        self._outbox.extend(self._proposals.propose(command, pending, now_s))
        self._rouse()
        return pending

    def submit_anywhere(self, command: Command, now_s: float) -> Pending:
        """
        Submit a command of this process at the leader, wherever that is.

        :param command: the command
        :param now_s: monotonic time
        :return: to wait for the outcome
        """
        leader_id = self.leader_id
        if leader_id in (None, self._settings.host_id):
            return self.submit(command, now_s)
        pending, outgoing = self._forwarding.submit(leader_id, command)
        self._outbox.append(outgoing)
        self._rouse()
        return pending

    def forget(self, pending: Pending) -> None:
        """
        Stop waiting for a command that was submitted at the leader.

        :param pending: from ``submit_anywhere``
        """
        self._forwarding.forget(pending)

    async def read(self, now_s: float) -> None:
        """
        Wait until the state holds everything that was committed before the call.

        :param now_s: monotonic time
        :raises NotLeaderError: no leader is known, or the leader lost its majority
        """
        read = LocalRead(Pending())
        leader_id = self.leader_id
        if leader_id is None:
            raise NotLeaderError(None)
        if leader_id == self._settings.host_id:
            self._outbox.extend(self._begin_read(read, now_s))
        else:
            read_id = self._reads.ask(read, now_s)
            self._outbox.append(Outgoing(leader_id, ReadRequest(read_id)))
        self._rouse()
        await read.pending.wait()

    def _begin_read(self, read: Read, now_s: float) -> Iterator[Outgoing]:
        if self._replica.confirmed_s(now_s) is None:
            yield from self._reads.refuse(read)
            return
        self._reads.begin(read, self._replica.state.commit_index, now_s)
        yield from self._step(Confirm(), now_s)
        yield from self._settle_reads(now_s)

    def _settle_reads(self, now_s: float) -> Iterator[Outgoing]:
        if self._reads.waiting:
            confirmed_s = self._replica.confirmed_s(now_s)
            yield from self._reads.settle(confirmed_s, self._driver.applied_index)

    def _learner_ids(self) -> Iterator[str]:
        match self._replica.state.role:
            case Leader(progress=progress):
                yield from map(host_of, progress)

    def _recover(self, now_s: float) -> Iterator[Outgoing]:
        # A new leader first applies what older ones have committed.
        if not self.lease_valid(now_s):
            return
        records = self.state.records
        commands = list(self._recovery.proposals(records, self._presence, now_s))
        expiry = self._recovery.expiry(records, self._wall_clock(), now_s)
        for command in commands if expiry is None else [*commands, expiry]:
            yield from self._proposals.propose(command, None, now_s)
        yield from self._recovery.assignments(records, self._presence, now_s)

    def _step(self, event: Event, now_s: float) -> Iterator[Outgoing]:
        yield from self._carry_out(self._driver.step(event, now_s), now_s)

    def _carry_out(self, reports: Iterable[Report], now_s: float) -> Iterator[Outgoing]:
        for report in reports:
            match report:
                case Send(message=message):
                    yield Outgoing(host_of(message.receiver), message)
                case Accepted(proposal_id, index, term):
                    self._submissions.place(proposal_id, index, term)
                case Refused(proposal_id, _):
                    yield from self._submissions.refuse(proposal_id, self.leader_id)
                case Applied(index, term, outcome):
                    yield from self._submissions.answer(index, term, outcome, self.leader_id)
                    if self.leads:
                        own_term = self._replica.state.term
                        yield from self._informing.push(self.state, own_term, now_s)
                case LeaderChanged(term, leader):
                    self._change_leader(term, leader, now_s)
                case Restored(index):
                    _log.info("state restored from the leader's snapshot", index=index)

    def _change_leader(self, term: int, leader: str | None, now_s: float) -> None:
        _log.info("leader changed", term=term, leader=leader)
        if leader == self._replica.state.identity:
            # This host may have been cut off or frozen, so that silence counts from now on only.
            self._presence.started_s = now_s
            self.leads_since_s = now_s
            self._recovery = self._new_recovery()
        else:
            self._submissions.abandon()

    def _new_recovery(self) -> Recovery:
        return Recovery(self._settings.result_retention_s, self._settings.result_store_bytes)

    def _trusts(self, sender: Sender, message: Any) -> bool:
        if bool(self._seeds) and isinstance(message, Join):
            return True
        known = bool(self._seeds) or sender.host_id in self.controller_ids()
        if known and host_of(message.sender) == sender.host_id:
            return True
        _log.warning(
            "message of an unexpected sender dropped",
            host_id=sender.host_id,
            message_type=type(message).__name__,
        )
        return False

    def _rouse(self) -> None:
        if self._driver.unflushed or self._outbox:
            self._wake.set()


__all__ = ["ReplicationController"]
