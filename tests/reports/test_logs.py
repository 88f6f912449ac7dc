"""Guards against logs that leak secrets or lack the ids of the host and the request."""

from __future__ import annotations

import io
import json
import logging
import unittest

import structlog

from camphorvalve.reports import logs
from camphorvalve.settings.schema import Logging


class LogsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(structlog.reset_defaults)
        root = logging.getLogger()
        self.addCleanup(setattr, root, "handlers", root.handlers[:])
        self.addCleanup(root.setLevel, root.level)
        self.stream = io.StringIO()

    def test_lines_carry_context_and_no_secrets(self) -> None:
        logs.configure("router-1", Logging(), self.stream)
        log = structlog.get_logger("test")
        with logs.bound(request_id="r1", team="kalamunda", revision=7):
            log.warning("refused", token="s3cret", prompt="dear parents", body=b"private")
        log.debug("below the level")
        logging.getLogger("library").warning("from a library")
        local_secret = "local s3cret"
        try:
            raise ValueError(f"broken, size {len(local_secret)}")
        except ValueError:
            log.exception("failed", secret="s3cret")
        lines = [json.loads(line) for line in self.stream.getvalue().splitlines()]
        self.assertEqual([line["event"] for line in lines], ["refused", "from a library", "failed"])
        self.assertEqual({line["host_id"] for line in lines}, {"router-1"})
        self.assertEqual(
            [lines[0][name] for name in ("request_id", "team", "revision", "level")],
            ["r1", "kalamunda", 7, "warning"],
        )
        self.assertNotIn("request_id", lines[1])
        for leaked in ("s3cret", "dear parents", "private"):
            self.assertNotIn(leaked, self.stream.getvalue())

    def test_console_format_is_readable_text(self) -> None:
        logs.configure("router-1", Logging(format="console", level="debug"), self.stream)
        structlog.get_logger("test").debug("started", port=8080)
        self.assertIn("started", self.stream.getvalue())
        self.assertIn("port=8080", self.stream.getvalue())
