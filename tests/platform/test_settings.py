"""Guards against a process that starts with misread settings."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import anyio

from camphorvalve_platform import settings
from tests.platform.builders import a_settings_file


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "local.toml"

    def load(self, **fields: object) -> settings.PlatformSettings:
        self.path.write_text(a_settings_file(**fields))
        return settings.load(self.path)

    def test_translation(self) -> None:
        """Guards against seeds, ids and paths that are decoded into the wrong field."""
        loaded = self.load(seeds=["10.1.0.38:8785", "10.2.0.9:8785"])
        router = settings.router_settings(loaded)
        self.assertEqual(router.host_id, "10.1.0.35:7400")
        self.assertEqual(router.peer_bind, "tcp://10.1.0.35:7400")
        self.assertEqual(router.seeds, ("10.1.0.38:7400", "10.2.0.9:7400"))
        self.assertEqual(router.data_centre, "perth-a")
        controller = settings.controller_settings(loaded)
        self.assertEqual(controller.data_folder, "/data/core")
        self.assertTrue(controller.bootstrap)

    def test_wrong_fields(self) -> None:
        """Guards against an error that does not name the field."""
        rows = [
            ("zone", None),
            ("zone", 5),
            ("seeds", "10.1.0.38:8785"),
            ("bootstrap", "yes"),
            ("internalPorts", [7400]),
            ("listen", ["10.1.0.35:8783"]),
            ("bounds", {"contactMs": 3000}),
            ("cloud", {"address": 7}),
        ]
        for name, value in rows:
            with self.subTest(name=name, value=value):
                with self.assertRaises(settings.SettingsError) as caught:
                    self.load(**{name: value})
                self.assertIn(name, str(caught.exception))

    def test_unreadable(self) -> None:
        """Guards against a traceback instead of an error message for an invalid file."""
        self.path.write_text("zone = ")
        with self.assertRaisesRegex(settings.SettingsError, "local.toml"):
            settings.load(self.path)

    def test_new_fields(self) -> None:
        """Guards against failing to start because a newer platform adds a field."""
        self.load(later={"x": 1}, other=[1])

    def test_reload(self) -> None:
        """Guards against seeds that are never updated, and an invalid file that ends the watch."""
        self.load(seeds=["10.1.0.38:8785"])
        settings.WATCH_INTERVAL_S, original_s = 0.01, settings.WATCH_INTERVAL_S
        self.addCleanup(setattr, settings, "WATCH_INTERVAL_S", original_s)

        async def run() -> tuple[str, ...]:
            changes = settings.watch_seeds(self.path)
            seeds: list[tuple[str, ...]] = []

            async def wait_for_change() -> None:
                seeds.append(await anext(changes))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait_for_change)
                await anyio.sleep(0.05)
                self.path.write_text("broken = ")
                await anyio.sleep(0.05)
                self.path.write_text(a_settings_file(seeds=["10.9.0.1:8785"]))
            return seeds[0]

        self.assertEqual(anyio.run(run), ("10.9.0.1:7400",))


if __name__ == "__main__":
    unittest.main()
