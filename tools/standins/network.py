"""Simulated network: ``python -m tools.standins.network``, a forwarder per directed pair."""

from __future__ import annotations

import fnmatch
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import defopt

from camphorvalve.http.asgi import run_lifespan
from tools.standins.asgi import read_request, send_json
from tools.standins.forwarder import Forwarder
from tools.standins.serving import LOOPBACK, run_until_stopped

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from tools.standins.asgi import Receive, Scope, Send


class Network:
    """Forwarders by source and target; both can be patterns such as ``router-*``."""

    def __init__(self) -> None:
        """Create a network without routes."""
        self._routes: dict[tuple[str, str], Forwarder] = {}

    async def open_route(self, source: str, target: str, host: str, port: int) -> int:
        """
        Open a port for one directed pair.

        :param source: name of the process that connects
        :param target: name of the process that the port leads to
        :param host: address of the target
        :param port: port of the target
        :return: the port to connect to
        """
        forwarder = Forwarder(host, port)
        await forwarder.open()
        self._routes[source, target] = forwarder
        return forwarder.port

    async def cut(self, source: str, target: str, mode: str | None = "refuse") -> int:
        """
        Cut the links of matching pairs, or restore them.

        :param source: name or pattern
        :param target: name or pattern
        :param mode: ``refuse``, ``blackhole``, or ``None`` to restore
        :return: number of matching pairs
        """
        matching = list(self._matching(source, target))
        for forwarder in matching:
            await forwarder.set_cut(mode)
        return len(matching)

    def delay(self, source: str, target: str, one_way_ms: float) -> int:
        """
        Delay the data that matching pairs send from now on.

        :param source: name or pattern
        :param target: name or pattern
        :param one_way_ms: delay in each direction
        :return: number of matching pairs
        """
        matching = list(self._matching(source, target))
        for forwarder in matching:
            forwarder.delay_ms = one_way_ms
        return len(matching)

    def opened_count(self, source: str, target: str) -> int:
        """
        Count the connections that matching pairs have opened so far.

        :param source: name or pattern
        :param target: name or pattern
        :return: the number of connections
        """
        return sum(forwarder.opened_count for forwarder in self._matching(source, target))

    async def close(self) -> None:
        """Close all ports and connections."""
        for forwarder in self._routes.values():
            await forwarder.close()
        self._routes.clear()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope of the control port."""
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            await self.close()
            return
        request = await read_request(scope, receive)
        if request.method != "POST":
            await send_json(send, {"error": "not found"}, status=404)
            return
        await send_json(send, await self._execute_command(request.path, request.json()))

    async def _execute_command(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        pair = (body.get("source", "*"), body.get("target", "*"))
        match path:
            case "/v1/routes":
                port = await self.open_route(*pair, body.get("host", LOOPBACK), body["port"])
                return {"port": port}
            case "/v1/cut":
                return {"pairs_count": await self.cut(*pair, body.get("mode", "refuse"))}
            case "/v1/heal":
                return {"pairs_count": await self.cut(*pair, None)}
            case "/v1/delay":
                return {"pairs_count": self.delay(*pair, body["one_way_ms"])}
            case _:
                return {"error": "not found"}

    def _matching(self, source: str, target: str) -> Iterator[Forwarder]:
        for (route_source, route_target), forwarder in self._routes.items():
            if fnmatch.fnmatch(route_source, source) and fnmatch.fnmatch(route_target, target):
                yield forwarder


@asynccontextmanager
async def open_network() -> AsyncIterator[Network]:
    """
    Provide a network on the running event loop.

    :return: the network, which is closed when the context is left
    """
    simulated = Network()
    try:
        yield simulated
    finally:
        await simulated.close()


def main(*, port: int = 0) -> None:
    """
    Run a simulated network.

    :param port: control port; 0 lets the system choose
    """
    anyio.run(lambda: run_until_stopped(Network(), port, id="network"))


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["Network", "main", "open_network"]
