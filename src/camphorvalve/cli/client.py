"""Client of the operator ports: finds the leader and retries changes with one operation id."""

from __future__ import annotations

import os
import time
import uuid
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from camphorvalve.cli.output import CommandError, ExitCode, print_message
from camphorvalve.cli.replies import (
    Reply,
    error_body,
    is_outcome_unknown,
    is_retryable,
    leader_url,
    rejection_error,
    retries_exhausted,
    successful_replies,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

CONTROLLERS_VARIABLE = "CAMPHORVALVE_CONTROLLERS"
ROUTERS_VARIABLE = "CAMPHORVALVE_ROUTERS"
TOKEN_VARIABLE = "CAMPHORVALVE_TOKEN"

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 5.0
SUBMIT_DEADLINE_S = 15.0
"""Long enough for an election and a few retries."""
RETRY_DELAY_S = 0.3


class OperatorClient:
    """Sends requests to the operator ports of controllers and routers."""

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

    async def query_controllers(self, path: str) -> list[Reply]:
        """
        Get a path from every controller, concurrently.

        :param path: path with its leading slash
        :return: replies in the order of the URLs
        """
        return await self._query(_require_urls(self._controllers, "controller"), path)

    async def query_routers(self, path: str) -> list[Reply]:
        """
        Get a path from every router, concurrently.

        :param path: path with its leading slash
        :return: replies in the order of the URLs
        """
        return await self._query(_require_urls(self._routers, "router"), path)

    async def query_all(self, path: str) -> list[Reply]:
        """
        Get a path from every controller and router, concurrently.

        :param path: path with its leading slash
        :return: replies, controllers first
        """
        urls = [*self._controllers, *self._routers]
        return await self._query(_require_urls(urls, "controller or --router"), path)

    async def read_newest(self, path: str) -> dict[str, Any]:
        """
        Get a path from every controller and return the reply with the highest revision.

        :param path: a path whose replies carry ``revision``
        :return: body of the newest reply
        """
        replies = successful_replies(await self.query_controllers(path))
        return max((reply.body for reply in replies), key=lambda body: body["revision"])

    async def read_from_leader(self, path: str) -> dict[str, Any]:
        """
        Get a path from the leader, or from any controller while there is none.

        :param path: path with its leading slash
        :return: body of the reply
        """
        statuses = successful_replies(await self.query_controllers("/v1/status"))
        leaders = [reply.url for reply in statuses if reply.body["leads"]]
        reported_urls = [reply.body["leader_url"] for reply in statuses if reply.body["leader_url"]]
        url = [*leaders, *reported_urls, statuses[0].url][0]
        return successful_replies(await self._query([url], path))[0].body

    async def revision(self) -> int:
        """:return: the highest revision that any controller has"""
        return (await self.read_newest("/v1/status"))["revision"]

    async def submit(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """
        Send a change or an order to the leader, and retry it when the reply is lost.

        :param path: path with its leading slash
        :param body: body with an ``operation_id``, which makes a retry safe
        :return: body of the reply
        """
        queue = list(_require_urls(self._controllers, "controller"))
        deadline_s = time.monotonic() + SUBMIT_DEADLINE_S
        may_be_committed = False
        tried: set[str] = set()
        while True:
            url = queue.pop(0)
            tried.add(url)
            reply = await self._request("POST", url, path, body)
            if reply.status == 200:
                return reply.body
            may_be_committed = may_be_committed or is_outcome_unknown(reply)
            leader = leader_url(reply)
            if leader is not None and leader != url:
                queue = [leader, *(other for other in queue if other != leader)]
            elif not is_retryable(reply):
                raise rejection_error(reply)
            else:
                print_message(f"retrying: {reply.text}")
            if url not in queue:
                queue.append(url)
            if time.monotonic() > deadline_s:
                raise retries_exhausted(reply, body["operation_id"], may_be_committed)
            if leader is None or leader in tried:
                # Until a new leader is elected, a follower may name one that has failed.
                tried.clear()
                await anyio.sleep(RETRY_DELAY_S)

    async def _query(self, urls: Sequence[str], path: str) -> list[Reply]:
        replies: list[Reply | None] = [None] * len(urls)

        async def query(index: int, url: str) -> None:
            replies[index] = await self._request("GET", url, path, None)

        async with anyio.create_task_group() as tasks:
            for index, url in enumerate(urls):
                tasks.start_soon(query, index, url)
        return [reply for reply in replies if reply is not None]

    async def _request(self, method: str, url: str, path: str, body: Any) -> Reply:
        try:
            response = await self._http.request(method, url.rstrip("/") + path, json=body)
            return Reply(url, response.status_code, response.json())
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Reply(url, 0, error_body(error), sent=False)
        except (httpx.TransportError, ValueError) as error:
            return Reply(url, 0, error_body(error))


@asynccontextmanager
async def connect(
    controller_urls: Sequence[str] = (), router_urls: Sequence[str] = ()
) -> AsyncIterator[OperatorClient]:
    """
    Open a client for the given URLs; those not given are taken from the environment.

    :param controller_urls: operator URLs of controllers
    :param router_urls: operator URLs of routers
    :return: the client
    """
    token = os.environ.get(TOKEN_VARIABLE)
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    timeout = httpx.Timeout(RESPONSE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
    # Ignores proxy variables: they are for outbound traffic; operator ports are addressed by IP.
    async with httpx.AsyncClient(headers=headers, timeout=timeout, trust_env=False) as http:
        controllers = controller_urls or _from_environment(CONTROLLERS_VARIABLE)
        routers = router_urls or _from_environment(ROUTERS_VARIABLE)
        for url in (*controllers, *routers):
            _check_url(url)
        yield OperatorClient(http, controllers, routers)


async def send_change(
    client: OperatorClient, body: dict[str, Any], revision: int, operation_id: str | None
) -> int:
    """
    Send one change of the configuration.

    :param client: client of the operator ports
    :param body: the change with its ``type``
    :param revision: expected revision, on which the change is based
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :return: revision after the change
    """
    resolved_id = resolve_operation_id(operation_id)
    request = {"operation_id": resolved_id, "expected_revision": revision, "change": body}
    return (await client.submit("/v1/changes", request))["revision"]


def resolve_operation_id(operation_id: str | None) -> str:
    """
    Print the operation id before anything is sent; generate one when none is given.

    :param operation_id: id from the command line
    :return: the operation id
    """
    resolved_id = operation_id or uuid.uuid4().hex
    print_message(f"operation id: {resolved_id}")
    return resolved_id


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


def _require_urls(urls: Sequence[str], option: str) -> Sequence[str]:
    if urls:
        return urls
    names = f"{CONTROLLERS_VARIABLE} or {ROUTERS_VARIABLE}"
    message = f"no operator URL: pass --{option} or set {names}"
    raise CommandError(ExitCode.USAGE, message)


__all__ = ["OperatorClient", "connect", "resolve_operation_id", "send_change"]
