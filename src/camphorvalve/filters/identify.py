"""Filter that finds the team that a request speaks for."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange, Request
    from camphorvalve.model.teams import TeamParameters
    from camphorvalve.settings.schema import CallerToken


class Tokens:
    """Finds the teams of a token in a time that tells nothing about the known tokens."""

    def __init__(self, callers: Sequence[CallerToken]) -> None:
        """
        Prepare the table.

        :param callers: tokens with their teams
        """
        # The table is keyed by a keyed hash: the time of a look-up depends on the hash, which a
        # caller without the process's key cannot steer towards a stored one.
        self._key = secrets.token_bytes(32)
        self._by_digest = {self._digest(one.token): one for one in callers}

    def teams(self, token: str) -> tuple[str, ...] | None:
        """
        Look a token up.

        :param token: what the caller sent
        :return: its teams, ``None`` for an unknown token
        """
        found = self._by_digest.get(self._digest(token))
        if found is None or not hmac.compare_digest(found.token.encode(), token.encode()):
            return None
        return found.teams

    def _digest(self, token: str) -> bytes:
        return hashlib.blake2b(token.encode(), key=self._key, digest_size=16).digest()


def identify(
    callers: Sequence[CallerToken] | None, parameters: Callable[[str], TeamParameters | None]
) -> Filter:
    """
    Build the filter.

    :param callers: tokens with their teams; ``None`` admits every caller for every team
    :param parameters: parameters in force of a team, ``None`` for an unknown team
    :return: the filter
    """
    tokens = None if callers is None else Tokens(callers)

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        name = _team_name(exchange.request, tokens)
        team = parameters(name)
        if team is None:
            raise RequestError("unknown_team", f"team {name!r} does not exist")
        exchange.team = team
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    return filter_


def _team_name(request: Request, tokens: Tokens | None) -> str:
    if tokens is None:
        if request.team is None:
            raise RequestError("unknown_team", "header X-Team is required")
        return request.team
    teams = tokens.teams(request.token)
    if teams is None:
        raise RequestError("unauthorised", "header Authorization: expected Bearer <known token>")
    if request.team is not None:
        if request.team not in teams:
            raise RequestError("not_allowed", f"the token does not serve team {request.team!r}")
        return request.team
    if len(teams) != 1:
        message = f"header X-Team is required, the token serves {len(teams)} teams"
        raise RequestError("unknown_team", message)
    return teams[0]


__all__ = ["Tokens", "identify"]
