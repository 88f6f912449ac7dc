"""Runs the state controllers of a process: delivers their messages and calls them periodically."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from camphorvalve.wire.link import Link

_log = structlog.get_logger(__name__)


class Sender(NamedTuple):
    """The process that sent a message."""

    host_id: str
    incarnation: int


class Outgoing(NamedTuple):
    """A message that a state controller wants to be sent."""

    peer_id: str
    message: Any


class StateController(Protocol):
    """Owns one part of the state; gets the time as an argument and does no input or output."""

    name: str
    tick_s: float
    accepts: tuple[type, ...]

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Handle a message.

        :param sender: the sending process
        :param message: value of one of the types in ``accepts``
        :param now_s: monotonic time
        :return: messages to send
        """

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Do the periodic work that is due.

        :param now_s: monotonic time
        :return: messages to send
        """


class Runtime:
    """Passes messages from the link to the state controllers and sends the messages they yield."""

    def __init__(
        self,
        link: Link,
        controllers: Sequence[StateController],
        durable: Sequence[StateController] = (),
    ) -> None:
        """
        Prepare the runtime.

        :param link: connection of this process to its peers
        :param controllers: state controllers; each message type is accepted by one of them
        :param durable: those whose errors end the process: their state may be half changed, and is
            restored from disk at the restart
        """
        self.link = link
        self._controllers = controllers
        self._durable = durable
        self._by_type = {
            message_type: controller
            for controller in controllers
            for message_type in controller.accepts
        }

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            for controller in self._controllers:
                tasks.start_soon(self._tick, controller)

    def send(self, outgoing: Iterable[Outgoing]) -> None:
        """
        Send messages; those to this process itself are delivered at once.

        :param outgoing: messages with the ids of their receivers
        """
        pending = list(outgoing)
        while pending:
            peer_id, message = pending.pop(0)
            if peer_id == self.link.host_id:
                sender = Sender(self.link.host_id, self.link.incarnation)
                pending.extend(self._deliver(sender, message))
            else:
                self._send_to_peer(peer_id, message)

    def _send_to_peer(self, peer_id: str, message: Any) -> None:
        try:
            self.link.send(peer_id, message)
        except (TypeError, ValueError, OverflowError):
            _log.exception(
                "message cannot be encoded", peer_id=peer_id, message_type=type(message).__name__
            )

    def _deliver(self, sender: Sender, message: Any) -> list[Outgoing]:
        controller = self._by_type.get(type(message))
        if controller is None:
            _log.warning("no controller accepts this message", message_type=type(message).__name__)
            return []
        return self._collect(controller, lambda: controller.handle(sender, message, _now_s()))

    def _collect(
        self, controller: StateController, run: Callable[[], Iterator[Outgoing]]
    ) -> list[Outgoing]:
        """Run a controller; an error costs its messages, not the process."""
        try:
            return list(run())
        except Exception:
            if controller in self._durable:
                raise
            _log.exception("controller failed", controller=controller.name)
            return []

    async def _receive(self) -> None:
        async for envelope in self.link.receive():
            sender = Sender(envelope.sender_id, envelope.incarnation)
            self.send(self._deliver(sender, envelope.message))

    async def _tick(self, controller: StateController) -> None:
        while True:
            self.send(self._collect(controller, lambda: controller.tick(_now_s())))
            await anyio.sleep(controller.tick_s)


def _now_s() -> float:
    return time.monotonic()


__all__ = ["Outgoing", "Runtime", "Sender", "StateController"]
