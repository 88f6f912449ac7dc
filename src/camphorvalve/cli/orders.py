"""Commands on orders to engines."""

from __future__ import annotations

from typing import Any

from camphorvalve.cli.client import connect, resolve_operation_id
from camphorvalve.cli.output import print_fields, print_rows


async def load_model(
    upstream: str,
    model: str,
    model_version: str,
    *,
    size_bytes: int,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    json: bool = False,
) -> None:
    """
    Order an engine to load a model from the weight store.

    :param upstream: id of the engine
    :param model: name of the model
    :param model_version: version of the model
    :param size_bytes: size of the weights, used to pace the loads
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param json: print JSON
    """
    action = {"type": "load_model", "model": model, "version": model_version}
    await _send(upstream, {**action, "size_bytes": size_bytes}, controller, operation_id, json=json)


async def load_adapter(
    upstream: str,
    model: str,
    adapter: str,
    *,
    size_bytes: int,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    json: bool = False,
) -> None:
    """
    Order an engine to load an adapter of a loaded model.

    :param upstream: id of the engine
    :param model: name of the model
    :param adapter: name of the adapter
    :param size_bytes: size of the weights, used to pace the loads
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param json: print JSON
    """
    action = {"type": "load_adapter", "model": model, "adapter": adapter}
    await _send(upstream, {**action, "size_bytes": size_bytes}, controller, operation_id, json=json)


async def change_role(
    upstream: str,
    role: str,
    *,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    json: bool = False,
) -> None:
    """
    Order an engine to change its role.

    :param upstream: id of the engine
    :param role: new role, such as prefill or decode
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param json: print JSON
    """
    action = {"type": "change_role", "role": role}
    await _send(upstream, action, controller, operation_id, json=json)


async def list_orders(*, controller: tuple[str, ...] = (), json: bool = False) -> None:
    """
    List the orders to engines and their outcomes, as known to the leader.

    :param controller: operator URL of a controller; may be repeated
    :param json: print JSON
    """
    async with connect(controller) as client:
        orders = await client.read_from_leader("/v1/orders")
    print_rows(orders["orders"], json=json)


async def _send(
    upstream: str,
    action: dict[str, Any],
    controller: tuple[str, ...],
    operation_id: str | None,
    *,
    json: bool,
) -> None:
    async with connect(controller) as client:
        resolved_id = resolve_operation_id(operation_id)
        request = {"operation_id": resolved_id, "upstream_id": upstream, "action": action}
        reply = await client.submit("/v1/orders", request)
    print_fields(reply, json=json)


__all__ = ["change_role", "list_orders", "load_adapter", "load_model"]
