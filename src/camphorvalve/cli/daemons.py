"""Commands that start the processes of the fleet, and those that prepare a host for them."""

from __future__ import annotations

import json as json_module

from camphorvalve.cli.client import connect
from camphorvalve.cli.output import CommandError, ExitCode, print_fields, print_message
from camphorvalve.reports import logs
from camphorvalve.settings.loader import load_controller, load_router, load_settings
from camphorvalve.settings.schema import RouterSettings
from camphorvalve.wire.keys import generate_key_pair


async def router(settings: str) -> None:
    """
    Run a router until it is told to stop.

    SIGTERM and SIGINT stop it gracefully: it finishes the requests it has accepted and exits 0.

    :param settings: settings file of the router
    """
    loaded = load_router(settings)
    from camphorvalve.wiring.router import run_router

    logs.configure(loaded.host_id, loaded.logging)
    await run_router(loaded)


async def controller(settings: str) -> None:
    """
    Run a controller until it is told to stop.

    :param settings: settings file of the controller
    """
    loaded = load_controller(settings)
    from camphorvalve.wiring.controller import run_controller

    logs.configure(loaded.host_id, loaded.logging)
    await run_controller(loaded)


async def bootstrap(settings: str, seed: str, *, controller: tuple[str, ...] = ()) -> None:
    """
    Create the data folder of an initial controller; needed once for a new fleet.

    Run it on every initial controller before any of them is started. Never run it after the loss
    of a disk: a controller with an empty data folder joins the fleet under a new identity.

    :param settings: settings file of the controller
    :param seed: random text for this fleet, the same on every initial controller
    :param controller: operator URLs of controllers; the command fails if one of them is running
    """
    loaded = load_controller(settings)
    if controller:
        await _require_no_running_controllers(controller)
    from camphorvalve.consensus.storage import bootstrap as create_data_folder

    members = [address.host_id for address in loaded.controllers]
    try:
        identity = create_data_folder(loaded.data_folder, loaded.host_id, members, seed)
    except (OSError, ValueError) as error:
        raise CommandError(ExitCode.FAILED, str(error)) from error
    print_message(f"created {loaded.data_folder} for replica {identity}")


async def _require_no_running_controllers(urls: tuple[str, ...]) -> None:
    async with connect(urls) as client:
        replies = await client.query_controllers("/v1/status")
    running = [reply.url for reply in replies if reply.status != 0]
    if running:
        message = f"controllers are already running at {', '.join(running)}; nothing was created"
        raise CommandError(ExitCode.FAILED, message)


def keys(*, json: bool = False) -> None:
    """
    Generate the key pair of a new fleet, for ``keys`` in every settings file.

    :param json: print JSON
    """
    pair = generate_key_pair()._asdict()
    if json:
        print_fields(pair, json=True)
        return
    print(f'"keys": {json_module.dumps(pair)},')


def check(settings: str, *, json: bool = False) -> None:
    """
    Check a settings file of a router or a controller.

    :param settings: the settings file
    :param json: print JSON
    """
    loaded = load_settings(settings)
    role = "router" if isinstance(loaded, RouterSettings) else "controller"
    fields = {"file": settings, "role": role, "host_id": loaded.host_id, "valid": True}
    print_fields(fields, json=json)


__all__ = ["bootstrap", "check", "controller", "keys", "router"]
