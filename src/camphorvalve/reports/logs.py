"""Set-up of structured logs: one line per event, with host, request, team and revision."""

from __future__ import annotations

import logging
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, TextIO

import msgspec
import structlog

from camphorvalve.reports.sink import BoundedSink

if TYPE_CHECKING:
    from collections.abc import Iterator, MutableMapping

    from structlog.typing import Processor, WrappedLogger

    from camphorvalve.settings.schema import Logging

HIDDEN_FIELDS = frozenset(
    {
        "authorization",
        "body",
        "content",
        "headers",
        "idempotency_key",
        "keys",
        "messages",
        "order_token",
        "operator_token",
        "payload",
        "prompt",
        "secret",
        "text",
        "token",
    }
)
"""Fields that may hold secrets or text of callers; only their size is logged."""


def configure(host_id: str, settings: Logging, stream: TextIO | BoundedSink | None = None) -> None:
    """
    Set up the logs of this process, those of libraries included.

    :param host_id: id of this process, bound to every event
    :param settings: format and level
    :param stream: where lines go; standard error when absent
    """
    output = stream or sys.stderr
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    renderers = _renderers(settings.format)
    shared = _shared_processors(host_id)
    structlog.configure(
        processors=[*_early(output), *shared, *renderers],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(output),
        cache_logger_on_first_use=False,
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.add_logger_name, *shared],
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *renderers],
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(formatter)
    # httpx logs each request at level info, which would be a line per upstream call.
    logging.basicConfig(level=max(level, logging.WARNING), handlers=[handler], force=True)


_encoder = msgspec.json.Encoder(enc_hook=repr, order="sorted")


@contextmanager
def bound(
    *, request_id: str | None = None, team: str | None = None, revision: int | None = None
) -> Iterator[None]:
    """
    Bind values to every event of the running task and the tasks that it starts.

    :param request_id: id of the request that is served
    :param team: team of that request
    :param revision: revision of the configuration that is used
    """
    given = {"request_id": request_id, "team": team, "revision": revision}
    present = {name: value for name, value in given.items() if value is not None}
    with structlog.contextvars.bound_contextvars(**present):
        yield


def _renderers(log_format: str) -> list[Processor]:
    if log_format == "console":
        plain = structlog.dev.plain_traceback
        return [structlog.dev.ConsoleRenderer(colors=False, exception_formatter=plain)]
    # Local variables in a traceback would hold tokens and bodies.
    frames = structlog.tracebacks.ExceptionDictTransformer(show_locals=False)
    return [
        structlog.processors.ExceptionRenderer(frames),
        structlog.processors.JSONRenderer(_to_json),
    ]


def _early(output: TextIO | BoundedSink) -> list[Processor]:
    if not isinstance(output, BoundedSink):
        return []

    def drop(
        logger: WrappedLogger, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        # Rendering a line takes longer than all else that is done for it.
        if not output.takes_more():
            raise structlog.DropEvent
        return event

    return [drop]


def _to_json(event: Any, **options: Any) -> str:
    return _encoder.encode(event).decode()


def _shared_processors(host_id: str) -> list[Processor]:
    def add_host(
        logger: WrappedLogger, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        event["host_id"] = host_id
        return event

    return [
        structlog.contextvars.merge_contextvars,
        add_host,
        hide_fields,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]


def hide_fields(
    logger: WrappedLogger, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """
    Replace secrets and text of callers by their size.

    :param logger: unused
    :param method: unused
    :param event: fields of the event
    :return: the same fields
    """
    for name in HIDDEN_FIELDS & event.keys():
        value = event[name]
        size = len(value) if hasattr(value, "__len__") else 0
        event[name] = f"hidden, size {size}"
    return event


__all__ = ["bound", "configure", "hide_fields"]
