"""Client of the operator ports: finds the leader and resends under the same operation id."""

from __future__ import annotations

import os
import time
import uuid
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from camphorvalve.cli.output import CommandError, ExitCode, say
from camphorvalve.cli.replies import (
    Reply,
    answered,
    failure,
    given_up,
    in_doubt,
    leader_url,
    may_resend,
    no_answer,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

CONTROLLERS_VARIABLE = "CAMPHORVALVE_CONTROLLERS"
ROUTERS_VARIABLE = "CAMPHORVALVE_ROUTERS"
TOKEN_VARIABLE = "CAMPHORVALVE_TOKEN"

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 5.0
SUBMIT_DEADLINE_S = 15.0
"""Covers an election and a few resends."""
RETRY_DELAY_S = 0.3


class Ports:
    """The operator ports that a command talks to."""

    def __init__(
        self, http: httpx.AsyncClient, controllers: Sequence[str], routers: Sequence[str]
    ) -> None:
        """
        Prepare the client.

        :param http: HTTP client that carries the token
        :param controllers: operator URLs of controllers
        :param routers: operator URLs of routers
        """
        self._http = http
        self._controllers = list(controllers)
        self._routers = list(routers)

    async def ask_controllers(self, path: str) -> list[Reply]:
        """
        Get a path from every controller at once.

        :param path: path with its leading slash
        :return: replies in the order of the URLs
        """
        return await self._ask(_required(self._controllers, "controller"), path)

    async def ask_routers(self, path: str) -> list[Reply]:
        """
        Get a path from every router at once.

        :param path: path with its leading slash
        :return: replies in the order of the URLs
        """
        return await self._ask(_required(self._routers, "router"), path)

    async def ask_all(self, path: str) -> list[Reply]:
        """
        Get a path from every controller and router at once.

        :param path: path with its leading slash
        :return: replies, controllers first
        """
        urls = [*self._controllers, *self._routers]
        return await self._ask(_required(urls, "controller or --router"), path)

    async def read_newest(self, path: str) -> dict[str, Any]:
        """
        Get a path from every controller and keep the answer with the highest revision.

        :param path: a path whose answers carry ``revision``
        :return: the newest answer
        """
        replies = answered(await self.ask_controllers(path))
        return max((reply.body for reply in replies), key=lambda body: body["revision"])

    async def read_from_leader(self, path: str) -> dict[str, Any]:
        """
        Get a path from the leader; from any controller while there is none.

        :param path: path with its leading slash
        :return: the answer
        """
        known = answered(await self.ask_controllers("/v1/status"))
        leaders = [reply.url for reply in known if reply.body["leads"]]
        named = [reply.body["leader_url"] for reply in known if reply.body["leader_url"]]
        url = [*leaders, *named, known[0].url][0]
        return answered(await self._ask([url], path))[0].body

    async def revision(self) -> int:
        """:return: the newest revision that a controller has"""
        return (await self.read_newest("/v1/status"))["revision"]

    async def submit(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """
        Send a change or order to the leader; resend it when the answer is lost.

        :param path: path with its leading slash
        :param body: body with its ``operation_id``, which makes the resend safe
        :return: body of the answer
        """
        queue = list(_required(self._controllers, "controller"))
        deadline_s = time.monotonic() + SUBMIT_DEADLINE_S
        sent = False
        tried: set[str] = set()
        while True:
            url = queue.pop(0)
            tried.add(url)
            reply = await self._call("POST", url, path, body)
            if reply.status == 200:
                return reply.body
            sent = sent or in_doubt(reply)
            leader = leader_url(reply)
            if leader is not None and leader != url:
                queue = [leader, *(one for one in queue if one != leader)]
            elif not may_resend(reply):
                raise failure(reply)
            else:
                say(f"trying again: {reply.text}")
            if url not in queue:
                queue.append(url)
            if time.monotonic() > deadline_s:
                raise given_up(reply, body["operation_id"], sent)
            if leader is None or leader in tried:
                # A follower may name a leader that is gone, until the next one is elected.
                tried.clear()
                await anyio.sleep(RETRY_DELAY_S)

    async def _ask(self, urls: Sequence[str], path: str) -> list[Reply]:
        replies: list[Reply | None] = [None] * len(urls)

        async def ask(index: int, url: str) -> None:
            replies[index] = await self._call("GET", url, path, None)

        async with anyio.create_task_group() as tasks:
            for index, url in enumerate(urls):
                tasks.start_soon(ask, index, url)
        return [reply for reply in replies if reply is not None]

    async def _call(self, method: str, url: str, path: str, body: Any) -> Reply:
        try:
            answer = await self._http.request(method, url.rstrip("/") + path, json=body)
            return Reply(url, answer.status_code, answer.json())
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Reply(url, 0, no_answer(error), sent=False)
        except (httpx.TransportError, ValueError) as error:
            return Reply(url, 0, no_answer(error))


@asynccontextmanager
async def connect(
    controller: Sequence[str] = (), router: Sequence[str] = ()
) -> AsyncIterator[Ports]:
    """
    Open a client for URLs of the command line, or of the environment without them.

    :param controller: operator URLs of controllers
    :param router: operator URLs of routers
    :return: the client
    """
    token = os.environ.get(TOKEN_VARIABLE)
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    timeout = httpx.Timeout(ANSWER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
    # Proxies of the environment are for the way out; operator ports are addressed by IP number.
    async with httpx.AsyncClient(headers=headers, timeout=timeout, trust_env=False) as http:
        controllers = controller or _from_environment(CONTROLLERS_VARIABLE)
        routers = router or _from_environment(ROUTERS_VARIABLE)
        for url in (*controllers, *routers):
            _check_url(url)
        yield Ports(http, controllers, routers)


async def send_change(
    ports: Ports, body: dict[str, Any], revision: int, operation_id: str | None
) -> int:
    """
    Send one change of the configuration.

    :param ports: the client
    :param body: the change with its ``type``
    :param revision: revision that is expected
    :param operation_id: id of an earlier try that is sent again; drawn when absent
    :return: revision after the change
    """
    chosen = announce(operation_id)
    request = {"operation_id": chosen, "expected_revision": revision, "change": body}
    return (await ports.submit("/v1/changes", request))["revision"]


def announce(operation_id: str | None) -> str:
    """
    Draw an operation id when none is given, and print it before anything is sent.

    :param operation_id: id from the command line
    :return: the id to use
    """
    chosen = operation_id or uuid.uuid4().hex
    say(f"operation id: {chosen}")
    return chosen


def _from_environment(variable: str) -> list[str]:
    return os.environ.get(variable, "").replace(",", " ").split()


def _check_url(url: str) -> None:
    try:
        parsed = httpx.URL(url)
    except httpx.InvalidURL as error:
        raise CommandError(ExitCode.USAGE, f"{url}: {error}") from error
    if parsed.scheme not in ("http", "https") or not parsed.host:
        expected = "an operator URL, such as http://127.0.0.1:8082"
        raise CommandError(ExitCode.USAGE, f"{url}: expected {expected}")


def _required(urls: Sequence[str], option: str) -> Sequence[str]:
    if urls:
        return urls
    names = f"{CONTROLLERS_VARIABLE} or {ROUTERS_VARIABLE}"
    message = f"no operator URL: give --{option} or set {names}"
    raise CommandError(ExitCode.USAGE, message)


__all__ = ["Ports", "announce", "connect", "send_change"]
