"""Endpoints of the caller port that bypass the filter chain: discovery, deferred work, health."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

from camphorvalve.filters.defer import team_of_work
from camphorvalve.http.callers import JsonResponse, Lookups
from camphorvalve.model.errors import RequestError
from camphorvalve.registry.commands import Done, Finished, Lost, Running

if TYPE_CHECKING:
    import random

    from camphorvalve.controllers.router.membership import MembershipController
    from camphorvalve.controllers.router.recordclient import RecordClient
    from camphorvalve.filters.identify import Tokens
    from camphorvalve.registry.commands import Outcome

MAX_ADDRESSES_COUNT = 8
"""Maximum number of addresses in a response; a caller needs a few to fail over, not the fleet."""


class RouterLookups:
    """Handles requests for router addresses, deferred work and health."""

    def __init__(
        self,
        membership: MembershipController,
        records: RecordClient,
        rng: random.Random,
        *,
        lifetime_s: float,
        tokens: Tokens | None,
    ) -> None:
        """
        Create the handlers.

        :param membership: lists the routers that accept callers
        :param records: looks up deferred work
        :param rng: selects and orders the addresses
        :param lifetime_s: how long callers may cache the addresses
        :param tokens: known tokens; ``None`` disables authentication
        """
        self._membership = membership
        self._records = records
        self._rng = rng
        self._lifetime_s = lifetime_s
        self._tokens = tokens

    def handlers(self) -> Lookups:
        """:return: the handlers in the form that ``CallerApp`` takes"""
        return Lookups(self.addresses, self.deferred, self.health)

    def addresses(self) -> JsonResponse:
        """:return: live routers that are not leaving, in random order to spread the callers"""
        routers = self._membership.live_routers()
        chosen = self._rng.sample(routers, min(MAX_ADDRESSES_COUNT, len(routers)))
        addresses = [
            {"url": host.url, "data_centre": host.data_centre, "router": host.host_id}
            for host in chosen
        ]
        return JsonResponse(200, {"addresses": addresses, "lifetime_s": self._lifetime_s})

    async def deferred(self, work_id: str, token: str) -> JsonResponse:
        """
        Return the state of deferred work.

        :param work_id: id from the 202 response
        :param token: the caller's token
        :return: the state, with the response to the work once it is done
        :raises RequestError: the token or the work is unknown, or no leader responds
        """
        self._check_access(work_id, token)
        outcome = await self._records.look_up(work_id)
        return JsonResponse(200, _describe_work(work_id, outcome))

    def _check_access(self, work_id: str, token: str) -> None:
        if self._tokens is None:
            return
        teams = self._tokens.teams(token)
        if teams is None:
            message = "header Authorization: expected Bearer <known token>"
            raise RequestError("unauthorised", message)
        if team_of_work(work_id) not in teams:
            # Same error as for work that does not exist, so that ids of other teams don't leak.
            raise RequestError("not_found", f"no accepted work has the id {work_id!r}")

    def health(self) -> JsonResponse:
        """:return: status 200 while this router accepts new callers, else 503"""
        leaving = self._membership.leaving
        return JsonResponse(503 if leaving else 200, {"leaving": leaving})


def _describe_work(work_id: str, outcome: Outcome) -> dict[str, Any]:
    match outcome:
        case Done():
            return {"id": work_id, "state": "waiting"}
        case Running(attempt=attempt):
            return {"id": work_id, "state": "running", "attempt": attempt}
        case Lost(attempt):
            return {"id": work_id, "state": "unknown", "attempt": attempt}
        case Finished():
            return {"id": work_id, "state": "done", "answer": _encode_response(outcome)}
        case _:
            raise RequestError("not_found", f"no accepted work has the id {work_id!r}")


def _encode_response(finished: Finished) -> dict[str, Any]:
    response: dict[str, Any] = {
        "status": finished.status,
        "headers": dict(finished.headers),
        "attempt": finished.attempt,
    }
    try:
        return {**response, "body": finished.body.decode()}
    except UnicodeDecodeError:
        return {**response, "body_base64": base64.b64encode(finished.body).decode()}


__all__ = ["RouterLookups"]
