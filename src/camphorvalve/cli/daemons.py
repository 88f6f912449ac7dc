"""Commands that start the processes of the fleet, and those that prepare a host for them."""

from __future__ import annotations

import json as json_module

from camphorvalve.cli.client import connect
from camphorvalve.cli.output import CommandError, ExitCode, print_fields, say
from camphorvalve.reports import logs
from camphorvalve.settings.loader import load_controller, load_either, load_router
from camphorvalve.settings.schema import RouterSettings
from camphorvalve.wire.keys import generate


async def router(settings: str) -> None:
    """
    Run a router until it is told to stop.

    SIGTERM and SIGINT stop it gracefully: it serves what it has accepted and exits 0.

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
    Create the data folder of a first controller; done once for a new fleet.

    Run it on every first controller before any of them is started. Never run it for a lost disk:
    a controller with an empty data folder joins the fleet under a new identity.

    :param settings: settings file of the controller
    :param seed: text drawn at random for this fleet, the same on every first controller
    :param controller: operator URLs of controllers; the command refuses when one answers
    """
    loaded = load_controller(settings)
    if controller:
        await _refuse_running_fleet(controller)
    from camphorvalve.consensus.storage import bootstrap as create

    members = [one.host_id for one in loaded.controllers]
    try:
        identity = create(loaded.data_folder, loaded.host_id, members, seed)
    except (OSError, ValueError) as error:
        raise CommandError(ExitCode.FAILED, str(error)) from error
    say(f"created {loaded.data_folder} for replica {identity}")


async def _refuse_running_fleet(urls: tuple[str, ...]) -> None:
    async with connect(urls) as ports:
        replies = await ports.ask_controllers("/v1/status")
    running = [reply.url for reply in replies if reply.status != 0]
    if running:
        message = f"controllers already run at {', '.join(running)}; nothing was created"
        raise CommandError(ExitCode.FAILED, message)


def keys(*, json: bool = False) -> None:
    """
    Draw the key pair of a new fleet, for ``keys`` in every settings file.

    :param json: print JSON
    """
    pair = generate()._asdict()
    if json:
        print_fields(pair, json=True)
        return
    print(f'"keys": {json_module.dumps(pair)},')


def check(settings: str, *, json: bool = False) -> None:
    """
    Check a settings file of a router or a controller.

    :param settings: the file
    :param json: print JSON
    """
    loaded = load_either(settings)
    role = "router" if isinstance(loaded, RouterSettings) else "controller"
    fields = {"file": settings, "role": role, "host_id": loaded.host_id, "valid": True}
    print_fields(fields, json=json)


__all__ = ["bootstrap", "check", "controller", "keys", "router"]
