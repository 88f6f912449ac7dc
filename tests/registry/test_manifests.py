"""Guards against invalid manifests in force, and against a return to an older one."""

from __future__ import annotations

import unittest

from camphorvalve.model.routes import Destination, Tenant
from camphorvalve.registry.commands import Conflict, Done, Invalid, PutManifest
from camphorvalve.registry.configuration import decode, encode
from camphorvalve.registry.manifests import validation_errors
from camphorvalve.registry.state import RegistryState
from tests.routebuilders import a_manifest, a_route


class ValidationErrorsTest(unittest.TestCase):
    def test_invalid(self) -> None:
        """Guards against a manifest that is acknowledged and cannot be applied."""
        cases = [
            ("unknown pool", {"routes": (a_route(destinations=(Destination("none", 1),)),)}),
            ("same match", {"routes": (a_route(), a_route(name="twin"))}),
            ("no weight", {"routes": (a_route(destinations=(Destination("engines", 0),)),)}),
            ("no destination", {"routes": (a_route(destinations=()),)}),
            ("no timeout", {"routes": (a_route(timeout_s=0.0),)}),
            ("no attempt", {"routes": (a_route(attempts_count=0),)}),
            ("prefix", {"routes": (a_route(path_prefix="drafts"),)}),
            ("shared key", {"tenants": (Tenant("a", ("k",), 1), Tenant("b", ("k",), 1))}),
        ]
        for name, fields in cases:
            with self.subTest(name):
                self.assertNotEqual(list(validation_errors(a_manifest(**fields))), [])

    def test_valid(self) -> None:
        """Guards against the rejection of a valid manifest."""
        self.assertEqual(list(validation_errors(a_manifest())), [])


class PutManifestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = RegistryState()

    def put(self, version: int, **fields: object) -> object:
        return self.state.apply(1, PutManifest(a_manifest(version, **fields)))

    def test_highest_version(self) -> None:
        """Guards against an older manifest that arrives late and replaces a newer one."""
        self.assertIsInstance(self.put(7), Done)
        self.assertIsInstance(self.put(5), Done)
        self.assertEqual(self.state.configuration.manifest.version, 7)
        self.assertEqual(self.state.configuration.revision, 1)

    def test_resent(self) -> None:
        """Guards against the rejection of a manifest that was acknowledged before."""
        self.put(7)
        self.assertIsInstance(self.put(7), Done)

    def test_other_content(self) -> None:
        """Guards against different content under the version that is in force."""
        self.put(7)
        self.assertIsInstance(self.put(7, source=b"other"), Conflict)
        self.assertEqual(self.state.configuration.manifest.source, b'{"version":7}')

    def test_invalid(self) -> None:
        """Guards against an invalid manifest that the receiving controller did not reject."""
        self.assertIsInstance(self.put(7, routes=(a_route(timeout_s=0.0),)), Invalid)
        self.assertIsNone(self.state.configuration.manifest)

    def test_encoding(self) -> None:
        """Guards against a snapshot or an update that loses the manifest."""
        self.put(7)
        self.assertEqual(decode(encode(self.state.configuration)), self.state.configuration)
        other = RegistryState()
        other.restore(self.state.snapshot())
        self.assertEqual(other.configuration, self.state.configuration)


if __name__ == "__main__":
    unittest.main()
