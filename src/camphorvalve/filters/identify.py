"""Filter that checks the caller's token and determines the team of a request."""

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
    """Looks up the teams of a token without revealing known tokens by its timing."""

    def __init__(self, callers: Sequence[CallerToken]) -> None:
        """
        Build the lookup table.

        :param callers: tokens with their teams
        """
        # The time of a lookup depends on the keyed hash of the token. Without the random key of
        # this process, a caller cannot choose tokens whose hash is close to a stored one.
        self._key = secrets.token_bytes(32)
        self._by_digest = {self._digest(caller.token): caller for caller in callers}

    def teams(self, token: str) -> tuple[str, ...] | None:
        """
        Look up a token.

        :param token: the token that the caller sent
        :return: its teams, ``None`` for an unknown token
        """
        caller = self._by_digest.get(self._digest(token))
        if caller is None or not hmac.compare_digest(caller.token.encode(), token.encode()):
            return None
        return caller.teams

    def _digest(self, token: str) -> bytes:
        return hashlib.blake2b(token.encode(), key=self._key, digest_size=16).digest()


def identify(
    callers: Sequence[CallerToken] | None, parameters: Callable[[str], TeamParameters | None]
) -> Filter:
    """
    Build the filter.

    :param callers: tokens with their teams; ``None`` admits every caller for every team
    :param parameters: looks up the effective parameters of a team, ``None`` for an unknown team
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
            raise RequestError("not_allowed", f"the token is not valid for team {request.team!r}")
        return request.team
    if len(teams) != 1:
        message = f"header X-Team is required, the token is valid for {len(teams)} teams"
        raise RequestError("unknown_team", message)
    return teams[0]


__all__ = ["Tokens", "identify"]
