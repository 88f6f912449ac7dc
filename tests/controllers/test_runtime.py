"""Guards against a process that ends because of one message or one failing controller."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
from structlog.testing import capture_logs

from camphorvalve.controllers.runtime import Outgoing, Runtime, Sender
from camphorvalve.wire.codec import Envelope, EnvelopeCodec
from camphorvalve.wire.messages import ListPoll, Ping, Pong

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator


class _Link:
    """A link that delivers given messages, and encodes what is sent."""

    host_id = "r-1"
    incarnation = 1

    def __init__(self, *messages: Any) -> None:
        self.sent: list[Any] = []
        self._messages = messages
        self._codec = EnvelopeCodec((Ping, Pong, ListPoll))

    def send(self, peer_id: str, message: Any) -> bool:
        self._codec.encode(Envelope(self.host_id, self.incarnation, message))
        self.sent.append(message)
        return True

    async def receive(self) -> AsyncIterator[Envelope]:
        for message in self._messages:
            yield Envelope("r-2", 1, message)


class _Echo:
    """Answers pings, and fails at those with the number 0 and in its first tick."""

    name = "echo"
    tick_s = 0.01
    accepts = (Ping,)

    def __init__(self) -> None:
        self.ticks_count = 0

    def handle(self, sender: Sender, message: Ping, now_s: float) -> Iterator[Outgoing]:
        yield Outgoing(sender.host_id, Pong(60 // message.sequence, False, ()))

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        self.ticks_count += 1
        if self.ticks_count == 1:
            raise ValueError("first tick")
        yield from ()


class _Unknown(NamedTuple):
    """A message that no controller accepts."""


class RuntimeTest(unittest.TestCase):
    def run_messages(self, *messages: Any, durable: bool = False) -> list[Any]:
        """Deliver the messages and run some ticks; returns what was sent."""
        link, echo = _Link(*messages), _Echo()
        runtime = Runtime(link, (echo,), durable=(echo,) if durable else ())

        async def run() -> None:
            with anyio.move_on_after(0.1):
                await runtime.run()

        with capture_logs():
            anyio.run(run)
        self.assertGreater(echo.ticks_count, 1)
        return link.sent

    def test_failing_handler(self) -> None:
        """Guards against losing the process, or the messages that follow, to one message."""
        sent = self.run_messages(Ping(0, False, ()), _Unknown(), Ping(2, False, ()))
        self.assertEqual(sent, [Pong(30, False, ())])

    def test_message_that_cannot_be_encoded(self) -> None:
        """Guards against losing the process to a value that a message cannot carry."""
        link = _Link()
        runtime = Runtime(link, ())
        with capture_logs() as lines:
            runtime.send([Outgoing("r-2", ListPoll(10**30)), Outgoing("r-2", ListPoll(1))])
        self.assertEqual(link.sent, [ListPoll(1)])
        self.assertEqual([line["event"] for line in lines], ["message cannot be encoded"])

    def test_durable_state(self) -> None:
        """Guards against going on with replicated state that may be half changed."""
        with self.assertRaises(BaseExceptionGroup):
            self.run_messages(Ping(0, False, ()), durable=True)


if __name__ == "__main__":
    unittest.main()
