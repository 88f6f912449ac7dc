"""Guards against manifests that are misread, and against invalid ones that are accepted."""

from __future__ import annotations

import json
import unittest

from camphorvalve.model.errors import RequestError
from camphorvalve.model.routes import Destination, Engine, Tenant
from camphorvalve.registry.manifests import validation_errors
from camphorvalve_platform import manifests
from tests.routebuilders import a_manifest_document

ROUTE = json.loads(a_manifest_document())["routes"][0]


class ManifestsTest(unittest.TestCase):
    def test_translation(self) -> None:
        """Guards against a field that is decoded into the wrong one or with the wrong unit."""
        manifest = manifests.decode(a_manifest_document())
        self.assertEqual(manifest.version, 7)
        self.assertEqual(manifest.source, a_manifest_document())
        (route,) = manifest.routes
        self.assertEqual(route.destinations, (Destination("engines", 90.0),))
        self.assertEqual((route.timeout_s, route.objective_s), (8.0, 0.4))
        self.assertEqual((route.streamed, route.resumable, route.idempotent), (True, True, False))
        self.assertEqual(route.attempts_count, 2)
        self.assertEqual(manifest.pools[0].engine, Engine(96))
        self.assertEqual(manifest.tenants, (Tenant("youth", ("key-1",), 1),))
        self.assertEqual(manifest.bounds.idle_timeout_s, 15.0)

    def test_kinds(self) -> None:
        """Guards against repeating a request whose kind allows only one attempt."""
        rows = [
            ("safe", False, True),
            ("unsafe", False, False),
            ("unsafe", True, False),
            ("streaming", False, False),
            ("streaming", True, True),
            ("unknown-kind", False, False),
        ]
        for kind, resumable, repeatable in rows:
            with self.subTest(kind=kind, resumable=resumable):
                route = {**ROUTE, "kind": kind, "resumable": resumable}
                decoded = manifests.decode(a_manifest_document(routes=[route])).routes[0]
                self.assertEqual(decoded.repeatable, repeatable)

    def test_invalid(self) -> None:
        """Guards against accepting an invalid manifest; one row for each kind of error."""
        service = {**ROUTE, "trafficSplit": [{"service": "none", "weight": 1}]}
        weight = {**ROUTE, "trafficSplit": [{"service": "engines", "weight": 0}]}
        tenant = {"name": "a", "apiKeys": ["k"]}
        rows = [
            ("truncated", a_manifest_document()[:-1], "manifest"),
            ("empty", b"", "manifest"),
            ("invalid UTF-8", b"\xff", "manifest"),
            ("no version", a_manifest_document(version=None), "version"),
            ("text as version", a_manifest_document(version="7"), "version"),
            ("unknown service", a_manifest_document(routes=[service]), "none"),
            (
                "same host and prefix",
                a_manifest_document(routes=[ROUTE, {**ROUTE, "name": "b"}]),
                "prefix",
            ),
            ("zero weights", a_manifest_document(routes=[weight]), "weights"),
            ("zero timeout", a_manifest_document(routes=[{**ROUTE, "timeoutMs": 0}]), "timeout"),
            ("shared key", a_manifest_document(tenants=[tenant, {**tenant, "name": "b"}]), "keys"),
        ]
        for name, content, expected in rows:
            with self.subTest(name):
                self.assertIn(expected, self.error_text(content))

    def error_text(self, content: bytes) -> str:
        try:
            return " ".join(validation_errors(manifests.decode(content)))
        except RequestError as error:
            self.assertEqual(error.status, 400)
            return error.message


if __name__ == "__main__":
    unittest.main()
