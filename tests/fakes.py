"""Small fakes at the interfaces of the operator ports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from camphorvalve.model.errors import RequestError
from camphorvalve.registry.commands import (
    CHANGE_CODEC,
    ChangeConfiguration,
    Command,
    Conflict,
    Done,
    Invalid,
    Outcome,
    SubmitOrder,
)
from camphorvalve.registry.configuration import EMPTY, ChangeError, Configuration, apply_change

if TYPE_CHECKING:
    from collections.abc import Iterable


class FakeController:
    """A controller of one replica; ``failures`` are raised in turn, ``lost`` after the commit."""

    def __init__(
        self, *, leads: bool = True, leader: str | None = None, failures: Iterable[str] = ()
    ) -> None:
        self.leads = leads
        self.leader = leader
        self.failures = list(failures)
        self.commands: list[Command] = []
        self.current = EMPTY
        self._outcomes: dict[str, Outcome] = {}

    async def submit(self, command: Command) -> Outcome:
        failure = self.failures.pop(0) if self.failures else None
        if failure not in (None, "lost"):
            raise RequestError(failure, f"failure {failure}")
        self.commands.append(command)
        if command.operation_id not in self._outcomes:
            self._outcomes[command.operation_id] = self._apply(command)
        if failure == "lost":
            raise RequestError("outcome_unknown", "the entry may still be committed")
        return self._outcomes[command.operation_id]

    def configuration(self) -> Configuration:
        return self.current

    def status(self) -> dict[str, Any]:
        return {"host_id": "controller-1", "term": 3}

    def orders(self) -> list[Any]:
        return [command for command in self.commands if isinstance(command, SubmitOrder)]

    def leader_url(self) -> str | None:
        return self.leader

    def is_leader(self) -> bool:
        return self.leads

    def _apply(self, command: Command) -> Outcome:
        match command:
            case SubmitOrder():
                return Done(self.current.revision, len(self.commands))
            case ChangeConfiguration(_, expected, change):
                if expected != self.current.revision:
                    return Conflict(self.current.revision, "another change came first")
                try:
                    self.current = apply_change(self.current, CHANGE_CODEC.decode(change))
                except ChangeError as error:
                    return Invalid(str(error))
                return Done(self.current.revision, len(self.commands))
        raise TypeError(type(command).__name__)


class FakeRouter:
    """A router that knows one request and one team."""

    def status(self) -> dict[str, Any]:
        return {"host_id": "router-1", "revision": 4}

    def explain_request(self, request_id: str) -> Any | None:
        return {"request_id": request_id, "notes": []} if request_id == "r1" else None

    def explain_team(self, name: str) -> Any | None:
        return {"team": name, "share": 1.0} if name == "kalamunda" else None

    def burn(self) -> Any:
        return {"rows": [{"team": "kalamunda", "kind": "chat", "burn_ratio": 0.5}]}


__all__ = ["FakeController", "FakeRouter"]
