"""
Tests for loading settings files.

Guards against a process that starts with invalid settings because they were not rejected, and
against error messages that do not say which value is invalid and why.
"""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from camphorvalve.settings.loader import SettingsError, load_controller, load_router
from tests.builders import a_controller_document, a_router_document

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
DUPLICATES = [{"host_id": "controller-1", "peer_address": "tcp://127.0.0.1:7001"}] * 3
CALLER = {"token": "secret-of-kalamunda", "teams": ["kalamunda"]}

# Changed fields, and for each expected error its key path and parts of its message.
INVALID_ROUTERS = [
    ({"colour": 1}, [("colour", "an unknown key", "only known keys")]),
    (
        {"record_timeout_ms": 3},
        [("record_timeout_ms", "an unknown key", "record_timeout_s (in s)")],
    ),
    ({"stop_timeout": 3}, [("stop_timeout", "an unknown key", "stop_timeout_s (in s)")]),
    ({"record_timeout_s": "3 s"}, [("record_timeout_s", "'3 s'", "a number")]),
    ({"record_timeout_s": 3000}, [("record_timeout_s", "3000", "0.1 to 60")]),
    ({"queue_total_count": 1.5}, [("queue_total_count", "1.5", "a whole number")]),
    ({"host_id": "a#b"}, [("host_id", "'a#b'", "letters, digits")]),
    ({"caller_bind": "localhost:80"}, [("caller_bind", "'localhost:80'", "an IP address")]),
    ({"caller_bind": "127.0.0.1:0"}, [("caller_bind", "'127.0.0.1:0'", "1 to 65535")]),
    ({"caller_bind": "::1:80"}, [("caller_bind", "'::1:80'", "an IP address")]),
    ({"caller_bind": "127.0.0.1:8081"}, [("operator_bind", "8081", "other than that of caller")]),
    ({"peer_bind": "127.0.0.1:7000"}, [("peer_bind", "'127.0.0.1:7000'", "tcp://")]),
    ({"peer_bind": "tcp://127.0.0.1:70000"}, [("peer_bind", "70000", "1 to 65535")]),
    (
        {"platform_url": "http://feed:9000"},
        [("platform_url", "'http://feed:9000'", "<IP address>")],
    ),
    ({"policy": "fair"}, [("policy", "'fair'", "one of fleet_fair, local_fair, first_come")]),
    (
        {"metrics": {"host": "statsd", "port": 0}},
        [("metrics.host",), ("metrics.port", "0", "port")],
    ),
    ({"logging": {"level": "loud"}}, [("logging.level", "'loud'", "one of debug")]),
    ({"stop_timeout_s": 1}, [("stop_timeout_s", "1", "at least address_lifetime_s (2)")]),
    ({"controllers": []}, [("controllers", "0 entries", "1, 3 or 5")]),
    ({"controllers": {}}, [("controllers", "an object", "a list")]),
    (
        {"controllers": DUPLICATES},
        [
            ("controllers[1].host_id", "'controller-1'", "other than controllers[0].host_id"),
            ("controllers[2].host_id",),
            ("controllers[1].peer_address",),
            ("controllers[2].peer_address",),
        ],
    ),
    ({"callers": [CALLER, CALLER]}, [("callers[1].token", "a hidden str", "other than")]),
    ({"callers": [{**CALLER, "teams": []}]}, [("callers[0].teams", "empty", "at least one team")]),
    ({"operator_token": "short"}, [("operator_token", "a hidden str", "at least 8")]),
    ({"keys": {"public": "x", "secret": "y"}}, [("keys.public",), ("keys.secret", "a hidden str")]),
    ({"keys": {"public": "0" * 40, "secret": "1" * 40}}, [("keys.public", "belongs to keys.s")]),
]
INVALID_CONTROLLERS = [
    ({"heartbeat_s": 0.5}, [("heartbeat_s", "0.5", "at most a third of election_timeout_s (1)")]),
    ({"host_id": "controller-9"}, [("controllers", "without this host", "'controller-9'")]),
    ({"data_folder": "data"}, [("data_folder", "'data'", "an absolute path")]),
    ({"member_lost_s": 15000}, [("member_lost_s", "15000", "2 to 3600")]),
    (
        {"member_lost_s": 15, "member_replaced_s": 20},
        [("member_replaced_s", "20", "at most member_lost_s (15)")],
    ),
    ({"result_store_bytes": 9}, [("result_store_bytes", "9", "262144 to")]),
    (
        {"data_folder": 7, "operator_url": "x", "heartbeat_s": True, "nonsense": 1},
        [("nonsense",), ("data_folder", "7"), ("heartbeat_s", "True"), ("operator_url", "'x'")],
    ),
]
MALFORMED_TEXTS = {
    "not JSON": "{",
    "duplicate key": '{"host_id": "a", "host_id": "b"}',
    "not finite": '{"record_timeout_s": NaN}',
    "not an object": "[]",
    "too deep": "[" * 5000,
}


class LoaderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"

    def load_errors(self, load, text: str) -> list[SettingsError]:
        self.path.write_text(text)
        with self.assertRaises(ExceptionGroup) as caught:
            load(self.path)
        return list(caught.exception.exceptions)

    def test_examples_and_builders_load(self) -> None:
        for deployment in ("perth", "khomas"):
            with self.subTest(deployment):
                load_router(EXAMPLES / deployment / "router-1.json")
                load_controller(EXAMPLES / deployment / "controller-1.json")
        self.path.write_text(json.dumps(a_router_document()))
        self.assertIsNone(load_router(self.path).callers)

    def test_every_invalid_field_is_reported_with_path_value_and_expectation(self) -> None:
        tables = [
            (load_router, a_router_document, INVALID_ROUTERS),
            (load_controller, a_controller_document, INVALID_CONTROLLERS),
        ]
        for load, document, cases in tables:
            for fields, expected in cases:
                with self.subTest(fields=fields):
                    errors = self.load_errors(load, json.dumps(document(**fields)))
                    self.assertEqual(
                        [error.problem.key_path for error in errors],
                        [parts[0] for parts in expected],
                    )
                    for error, parts in zip(errors, expected, strict=True):
                        for part in (str(self.path), *parts):
                            self.assertIn(part, str(error))

    def test_access_fields_have_no_default(self) -> None:
        for field in ("keys", "callers", "operator_token"):
            document = a_router_document()
            del document[field]
            with self.subTest(field):
                (error,) = self.load_errors(load_router, json.dumps(document))
                self.assertIn(f"{field}: got nothing", str(error))

    def test_malformed_files_name_the_file(self) -> None:
        for name, text in MALFORMED_TEXTS.items():
            with self.subTest(name):
                self.assertIn(str(self.path), str(self.load_errors(load_router, text)[0]))
        with self.assertRaises(ExceptionGroup):
            load_router(self.path.parent / "absent.json")
