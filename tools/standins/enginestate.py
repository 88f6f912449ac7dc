"""Orders of a model engine: what is loaded, fencing, late deliveries."""

from __future__ import annotations

from typing import Any, NamedTuple


class OrderSettings(NamedTuple):
    """How an engine treats orders."""

    checks_fencing: bool = True
    token: str | None = None
    """Bearer token that orders need; ``None`` accepts every sender."""
    load_bytes_per_s: float = 1e9


class OrderEntry(NamedTuple):
    """One order that the engine accepted."""

    order_id: str
    fencing_number: int
    action: dict[str, Any]
    accepted_at_s: float
    done_at_s: float


class EngineState:
    """What orders have made of the engine."""

    def __init__(self, settings: OrderSettings) -> None:
        """
        Start with nothing loaded.

        :param settings: how orders are treated
        """
        self.settings = settings
        self.entries: list[OrderEntry] = []
        self.runs_count: dict[str, int] = {}
        self.highest_fencing_number = 0

    def authorised(self, header: str | None) -> bool:
        """
        Check the sender of an order.

        :param header: value of the Authorization header
        :return: whether the order may be taken
        """
        return self.settings.token is None or header == f"Bearer {self.settings.token}"

    def order(self, body: dict[str, Any], now_s: float) -> bool:
        """
        Take an order.

        :param body: ``{"order_id", "fencing_number", "action"}``
        :param now_s: monotonic time
        :return: False when the order is stale and the engine checks
        """
        order_id = body["order_id"]
        number = body["fencing_number"]
        if self.settings.checks_fencing:
            if number < self.highest_fencing_number:
                return False
            if any(entry.order_id == order_id for entry in self.entries):
                return True
        self.highest_fencing_number = max(number, self.highest_fencing_number)
        self.runs_count[order_id] = self.runs_count.get(order_id, 0) + 1
        size_bytes = body["action"].get("size_bytes", 0)
        done_at_s = now_s + size_bytes / self.settings.load_bytes_per_s
        self.entries.append(OrderEntry(order_id, number, body["action"], now_s, done_at_s))
        return True

    def view(self, now_s: float) -> dict[str, Any]:
        """
        Describe the state for ``GET /v1/state``.

        :param now_s: monotonic time
        :return: orders, what is loaded, and the role
        """
        done = [entry.action for entry in self.entries if entry.done_at_s <= now_s]
        roles = [action["role"] for action in done if action["type"] == "ChangeRole"]
        return {
            "fencing_number": self.highest_fencing_number,
            "orders": [
                {"order_id": e.order_id, "state": "done" if e.done_at_s <= now_s else "running"}
                for e in self.entries
            ],
            "models": [
                {"model": action["model"], "version": action["version"]}
                for action in done
                if action["type"] == "LoadModel"
            ],
            "adapters": [
                {"model": action["model"], "adapter": action["adapter"]}
                for action in done
                if action["type"] == "LoadAdapter"
            ],
            "role": roles[-1] if roles else "mixed",
            "runs_count": self.runs_count,
        }


__all__ = ["EngineState", "OrderEntry", "OrderSettings"]
