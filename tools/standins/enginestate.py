"""Simulated execution of orders by a model engine: fencing, duplicates, models and role."""

from __future__ import annotations

from typing import Any, NamedTuple


class OrderSettings(NamedTuple):
    """How an engine checks and executes orders."""

    checks_fencing: bool = True
    token: str | None = None
    """Bearer token that is required for orders; ``None`` accepts every sender."""
    load_bytes_per_s: float = 1e9


class OrderEntry(NamedTuple):
    """Order that the engine accepted."""

    order_id: str
    fencing_number: int
    action: dict[str, Any]
    accepted_at_s: float
    done_at_s: float


class EngineState:
    """State of an engine that results from its orders."""

    def __init__(self, settings: OrderSettings) -> None:
        """
        Create the state of an engine that has received no orders.

        :param settings: how orders are checked and executed
        """
        self.settings = settings
        self.accepted_orders: list[OrderEntry] = []
        self.runs_count: dict[str, int] = {}
        self.highest_fencing_number = 0

    def authorised(self, header: str | None) -> bool:
        """
        Check the credential of the sender of an order.

        :param header: value of the Authorization header
        :return: whether the sender may give orders
        """
        return self.settings.token is None or header == f"Bearer {self.settings.token}"

    def accept_order(self, body: dict[str, Any], now_s: float) -> bool:
        """
        Accept an order; the fencing check rejects stale orders and skips duplicates.

        :param body: ``{"order_id", "fencing_number", "action"}``
        :param now_s: monotonic time
        :return: whether the order was accepted; ``False`` for a stale order if fencing is checked
        """
        order_id = body["order_id"]
        fencing_number = body["fencing_number"]
        if self.settings.checks_fencing:
            if fencing_number < self.highest_fencing_number:
                return False
            if any(entry.order_id == order_id for entry in self.accepted_orders):
                return True
        self.highest_fencing_number = max(fencing_number, self.highest_fencing_number)
        self.runs_count[order_id] = self.runs_count.get(order_id, 0) + 1
        size_bytes = body["action"].get("size_bytes", 0)
        done_at_s = now_s + size_bytes / self.settings.load_bytes_per_s
        self.accepted_orders.append(
            OrderEntry(order_id, fencing_number, body["action"], now_s, done_at_s)
        )
        return True

    def view(self, now_s: float) -> dict[str, Any]:
        """
        Describe the state for ``GET /v1/state``.

        :param now_s: monotonic time
        :return: the orders with their states, the loaded models and adapters, and the role
        """
        done = [entry.action for entry in self.accepted_orders if entry.done_at_s <= now_s]
        roles = [action["role"] for action in done if action["type"] == "ChangeRole"]
        return {
            "fencing_number": self.highest_fencing_number,
            "orders": [
                {
                    "order_id": entry.order_id,
                    "state": "done" if entry.done_at_s <= now_s else "running",
                }
                for entry in self.accepted_orders
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
