"""What the caller port answers without the filter chain: addresses, accepted work, health."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

from camphorvalve.filters.defer import team_of_work
from camphorvalve.http.callers import JsonAnswer, Lookups
from camphorvalve.model.errors import RequestError
from camphorvalve.registry.commands import Done, Finished, Lost, Running

if TYPE_CHECKING:
    import random

    from camphorvalve.controllers.membership import MembershipController
    from camphorvalve.controllers.records import Records
    from camphorvalve.filters.identify import Tokens
    from camphorvalve.registry.commands import Outcome

ADDRESSES_COUNT = 8
"""Addresses in one answer; a caller needs a few to fall back on, not the whole fleet."""


class RouterLookups:
    """Answers discovery, deferred work and health."""

    def __init__(
        self,
        membership: MembershipController,
        records: Records,
        rng: random.Random,
        *,
        lifetime_s: float,
        tokens: Tokens | None,
    ) -> None:
        """
        Prepare the answers.

        :param membership: knows the routers that stay
        :param records: reads accepted work
        :param rng: source of the order of addresses
        :param lifetime_s: how long a caller may keep the addresses
        :param tokens: known tokens; ``None`` admits every caller
        """
        self._membership = membership
        self._records = records
        self._rng = rng
        self._lifetime_s = lifetime_s
        self._tokens = tokens

    def bundle(self) -> Lookups:
        """:return: the callables that ``CallerApp`` takes"""
        return Lookups(self.addresses, self.deferred, self.health)

    def addresses(self) -> JsonAnswer:
        """:return: routers that stay, in random order so that callers spread"""
        routers = self._membership.live_routers()
        chosen = self._rng.sample(routers, min(ADDRESSES_COUNT, len(routers)))
        addresses = [
            {"url": host.url, "data_centre": host.data_centre, "router": host.host_id}
            for host in chosen
        ]
        return JsonAnswer(200, {"addresses": addresses, "lifetime_s": self._lifetime_s})

    async def deferred(self, work_id: str, token: str) -> JsonAnswer:
        """
        Tell the state of accepted work.

        :param work_id: id from the answer 202
        :param token: the caller's token
        :return: state, with the answer once it is done
        :raises RequestError: unknown token or work, or no leader answers
        """
        self._check(work_id, token)
        outcome = await self._records.look_up(work_id)
        return JsonAnswer(200, _describe(work_id, outcome))

    def _check(self, work_id: str, token: str) -> None:
        if self._tokens is None:
            return
        teams = self._tokens.teams(token)
        if teams is None:
            message = "header Authorization: expected Bearer <known token>"
            raise RequestError("unauthorised", message)
        if team_of_work(work_id) not in teams:
            # The same answer as for work that does not exist.
            raise RequestError("not_found", f"no accepted work has the id {work_id!r}")

    def health(self) -> JsonAnswer:
        """:return: 200 while this router takes new callers, else 503"""
        leaving = self._membership.leaving
        return JsonAnswer(503 if leaving else 200, {"leaving": leaving})


def _describe(work_id: str, outcome: Outcome) -> dict[str, Any]:
    match outcome:
        case Done():
            return {"id": work_id, "state": "waiting"}
        case Running(attempt=attempt):
            return {"id": work_id, "state": "running", "attempt": attempt}
        case Lost(attempt):
            return {"id": work_id, "state": "unknown", "attempt": attempt}
        case Finished():
            return {"id": work_id, "state": "done", "answer": _answer(outcome)}
        case _:
            raise RequestError("not_found", f"no accepted work has the id {work_id!r}")


def _answer(finished: Finished) -> dict[str, Any]:
    answer: dict[str, Any] = {
        "status": finished.status,
        "headers": dict(finished.headers),
        "attempt": finished.attempt,
    }
    try:
        return {**answer, "body": finished.body.decode()}
    except UnicodeDecodeError:
        return {**answer, "body_base64": base64.b64encode(finished.body).decode()}


__all__ = ["RouterLookups"]
