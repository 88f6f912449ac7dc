"""Configuration of structured logs: one line per event, with host, request, team and revision."""

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

REDACTED_FIELDS = frozenset(
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
"""Fields that may hold secrets or data of callers; only their size is logged."""


def configure(host_id: str, settings: Logging, stream: TextIO | BoundedSink | None = None) -> None:
    """
    Configure logging for this process, including its libraries.

    :param host_id: id of this process, bound to every event
    :param settings: format and level
    :param stream: output of the lines; standard error if ``None``
    """
    output = stream or sys.stderr
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    renderers = _renderers(settings.format)
    shared_processors = _shared_processors(host_id)
    structlog.configure(
        processors=[*_rate_limit_processors(output), *shared_processors, *renderers],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(output),
        cache_logger_on_first_use=False,
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.add_logger_name, *shared_processors],
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *renderers],
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(formatter)
    # httpx logs each request at level info, which would add a line per upstream call.
    logging.basicConfig(level=max(level, logging.WARNING), handlers=[handler], force=True)


_encoder = msgspec.json.Encoder(enc_hook=repr, order="sorted")


@contextmanager
def bound(
    *, request_id: str | None = None, team: str | None = None, revision: int | None = None
) -> Iterator[None]:
    """
    Add values to every log event of the current task and of the tasks that it starts.

    :param request_id: id of the request being served
    :param team: team of that request
    :param revision: revision of the configuration used for it
    """
    values = {"request_id": request_id, "team": team, "revision": revision}
    bound_values = {name: value for name, value in values.items() if value is not None}
    with structlog.contextvars.bound_contextvars(**bound_values):
        yield


def _renderers(log_format: str) -> list[Processor]:
    if log_format == "console":
        traceback_formatter = structlog.dev.plain_traceback
        return [
            structlog.dev.ConsoleRenderer(colors=False, exception_formatter=traceback_formatter)
        ]
    # Local variables in a traceback could expose tokens and bodies.
    traceback_transformer = structlog.tracebacks.ExceptionDictTransformer(show_locals=False)
    return [
        structlog.processors.ExceptionRenderer(traceback_transformer),
        structlog.processors.JSONRenderer(_to_json),
    ]


def _rate_limit_processors(output: TextIO | BoundedSink) -> list[Processor]:
    if not isinstance(output, BoundedSink):
        return []

    def drop_over_limit(
        logger: WrappedLogger, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        # Dropped before rendering, which takes longer than all other processing of a line.
        if not output.accepts_line():
            raise structlog.DropEvent
        return event

    return [drop_over_limit]


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
        redact_fields,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]


def redact_fields(
    logger: WrappedLogger, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """
    Replace secrets and data of callers by their size.

    :param logger: unused
    :param method: unused
    :param event: fields of the event
    :return: the same fields
    """
    for name in REDACTED_FIELDS & event.keys():
        value = event[name]
        size = len(value) if hasattr(value, "__len__") else 0
        event[name] = f"hidden, size {size}"
    return event


__all__ = ["bound", "configure", "redact_fields"]
