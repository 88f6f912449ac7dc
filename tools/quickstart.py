"""Starts a small fleet on loopback, sends it example requests and prints the responses."""

from __future__ import annotations

import signal
import sys
import uuid
from pathlib import Path
from typing import Any

import anyio

from tools.fleet import CALLER_TOKEN, OPERATOR_TOKEN, SMALL, Fleet

TEAM = "fremantle"
INTERRUPTED = 130
"""Exit code that a shell reports for a command terminated by SIGINT."""


def _headers(kind: str, **extra: str) -> dict[str, str]:
    named = {name.replace("_", "-"): value for name, value in extra.items()}
    return {"authorization": f"Bearer {CALLER_TOKEN}", "x-team": TEAM, "x-kind": kind, **named}


async def _discover_router(fleet: Fleet) -> str:
    first_router = fleet.members[fleet.member_ids("router")[0]]
    answer = (await fleet.client.get(f"{first_router.url}/v1/addresses")).json()
    address = answer["addresses"][0]
    print(
        f"discovery: use {address['url']} ({address['router']}), valid for {answer['lifetime_s']} s"
    )
    return address["url"]


async def _request_streamed(fleet: Fleet, url: str) -> None:
    body = {"model": "chorale", "prompt": "Draft the audition day.", "max_tokens": 8}
    lines = fleet.stream(url, {**body, "stream": True}, _headers("schedule-draft"))
    events = [line async for line in lines if line.startswith("data:")]
    print(f"streamed answer: {' '.join(events)}")


async def _request_service(fleet: Fleet, url: str) -> None:
    key = uuid.uuid4().hex
    headers = _headers("slot-confirmation", idempotency_key=key)
    path = f"{url}/v1/services/booking-desk/slots/17"
    answer = await fleet.client.post(path, headers=headers, json={"confirm": True})
    _print_answer("plain answer", answer)
    answer = await fleet.client.post(path, headers=headers, json={"confirm": True})
    _print_answer("same key again", answer)


async def _request_deferred(fleet: Fleet, url: str) -> None:
    body = {"model": "chorale", "prompt": "Summarise the repertoire.", "max_tokens": 8}
    headers = _headers("summary", x_deferred="true")
    accepted = await fleet.client.post(f"{url}/v1/completions", headers=headers, json=body)
    print(f"deferred: {accepted.status_code} {accepted.text}")
    location = accepted.headers["location"]
    for _ in range(100):
        answer = (await fleet.client.get(f"{url}{location}", headers=headers)).json()
        if answer.get("state") == "done":
            break
        await anyio.sleep(0.1)
    print(f"deferred answer: {answer}")


def _print_answer(label: str, answer: Any) -> None:
    served = answer.headers.get("x-served-by")
    upstream = answer.headers.get("x-upstream")
    print(f"{label}: {answer.status_code} from {upstream} by {served}: {answer.text}")


async def _print_fleet(fleet: Fleet) -> None:
    for controller_id in fleet.member_ids("controller"):
        status = await fleet.call_operator(controller_id, "GET", "/v1/status")
        print(f"{controller_id}: {status['role']}, revision {status['revision']}")
    for router_id in fleet.member_ids("router"):
        status = await fleet.call_operator(router_id, "GET", "/v1/status")
        print(f"{router_id}: revision {status['revision']}, schedules {status['schedules']}")
    for upstream_id in [*fleet.member_ids("engine"), *fleet.member_ids("service")]:
        log = (await fleet.client.get(f"{fleet.members[upstream_id].url}/v1/log")).json()
        print(f"{upstream_id}: served {len(log['runs'])} runs")


def _shell_variables(fleet: Fleet, caller_url: str) -> dict[str, str]:
    """Build the environment variables for the commands in README.md and docs/OPERATIONS.md."""

    def operator_urls(role: str) -> str:
        return " ".join(
            fleet.members[member_id].operator_url for member_id in fleet.member_ids(role)
        )

    return {
        "CAMPHORVALVE_CONTROLLERS": operator_urls("controller"),
        "CAMPHORVALVE_ROUTERS": operator_urls("router"),
        "CAMPHORVALVE_TOKEN": OPERATOR_TOKEN,
        "CALLER_URL": caller_url,
        "CALLER_TOKEN": CALLER_TOKEN,
        "SETTINGS": str(fleet.folder),
        "PATH": f"{Path(sys.executable).parent}:$PATH",
    }


async def _wait_for_interrupt(fleet: Fleet, caller_url: str) -> None:
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        for member in fleet.members.values():
            print(f"{member.member_id}: pid {member.pid}, {member.operator_url or member.url}")
        print(f"\nsettings, logs and data of every process: {fleet.folder}")
        print(
            "to run the commands of README.md and docs/OPERATIONS.md, paste into another shell:\n"
        )
        for name, value in _shell_variables(fleet, caller_url).items():
            print(f'export {name}="{value}"')
        print("\nCtrl-C stops the fleet", flush=True)
        async for _ in signals:
            return


async def run(*, keep: bool) -> None:
    """
    Start the fleet, send the example requests and print the state of each member.

    :param keep: whether to leave the fleet running until it is interrupted
    """
    async with Fleet(SMALL) as fleet:
        revision = await fleet.apply_configuration()
        await fleet.wait_configured(revision)
        print(f"configuration: revision {revision} is in force on every router")
        url = await _discover_router(fleet)
        await _request_streamed(fleet, url)
        await _request_service(fleet, url)
        await _request_deferred(fleet, url)
        await _print_fleet(fleet)
        if keep:
            await _wait_for_interrupt(fleet, url)


def main(argv: list[str]) -> int:
    """
    Run the quick start; an interrupt at any time stops the fleet.

    :param argv: command-line arguments: ``--keep`` or none
    :return: exit code
    """
    try:
        anyio.run(lambda: run(keep="--keep" in argv))
    except KeyboardInterrupt:
        return INTERRUPTED
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))


__all__ = ["main", "run"]
