"""Guards against listening sockets that stop accepting, or that reset waiting connections."""

from __future__ import annotations

import asyncio
import errno
import socket
import unittest
from functools import partial
from typing import Any

import anyio

from camphorvalve import loop
from camphorvalve.http.server import listen


class _FailingListener:
    """A listening socket whose first calls of ``accept`` fail with the given errors."""

    def __init__(self, listener: socket.socket, errors: list[int]) -> None:
        self._listener = listener
        self._errors = errors

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)

    def accept(self) -> tuple[socket.socket, Any]:
        if self._errors:
            raise OSError(self._errors.pop(0), "not accepted")
        return self._listener.accept()


class _GreetingProtocol(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.write(b"hello")
        transport.close()


class AcceptorTest(unittest.TestCase):
    def test_accepting_continues_after_an_error(self) -> None:
        for error in (errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EINTR):
            with self.subTest(errno.errorcode[error]):
                loop.run(partial(self.receive_greeting, [error]))

    async def receive_greeting(self, errors: list[int]) -> None:
        """Connect while ``accept`` fails, and wait until the connection is served."""
        listener = listen("127.0.0.1:0")
        failing = _FailingListener(listener, errors)
        acceptor = loop.Acceptor(asyncio.get_running_loop(), failing, _GreetingProtocol)
        port = listener.getsockname()[1]
        async with await anyio.connect_tcp("127.0.0.1", port) as caller:
            with anyio.fail_after(5):
                self.assertEqual(await caller.receive(), b"hello")
        self.assertEqual(errors, [])
        acceptor.close()
        with self.assertRaises(OSError):
            await anyio.connect_tcp("127.0.0.1", port)

    def test_close_accepts_waiting_connections(self) -> None:
        """Guards against a close that resets connections which callers see as established."""

        async def close_acceptor() -> None:
            listener = listen("127.0.0.1:0")
            running = asyncio.get_running_loop()
            acceptor = loop.Acceptor(running, listener, _GreetingProtocol)
            caller = socket.create_connection(listener.getsockname(), 5)
            acceptor.close()
            acceptor.close()
            await acceptor.wait_closed()
            self.assertFalse(acceptor.is_serving())
            self.assertEqual(acceptor.sockets, ())
            caller.setblocking(False)
            with anyio.fail_after(5), caller:
                self.assertEqual(await running.sock_recv(caller, 10), b"hello")

        loop.run(close_acceptor)

    def test_close_while_accepting_is_paused(self) -> None:
        async def close_acceptor() -> None:
            listener = listen("127.0.0.1:0")
            failing = _FailingListener(listener, [errno.EMFILE, errno.EMFILE])
            acceptor = loop.Acceptor(asyncio.get_running_loop(), failing, _GreetingProtocol)
            with socket.create_connection(listener.getsockname(), 5):
                await anyio.sleep(loop.ACCEPT_PAUSE_S / 2)
                acceptor.close()
                await anyio.sleep(loop.ACCEPT_PAUSE_S)

        loop.run(close_acceptor)


if __name__ == "__main__":
    unittest.main()
