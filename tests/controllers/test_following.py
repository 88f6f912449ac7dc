"""Guards against a router that gets its first configuration later than it has to."""

from __future__ import annotations

import unittest

from camphorvalve.controllers.following import (
    INITIAL_POLL_S,
    INITIAL_POLLS_COUNT,
    POLL_S,
    ConfigurationFollower,
    Contact,
    FixedControllers,
    Load,
)
from camphorvalve.controllers.runtime import Sender
from camphorvalve.registry import configuration
from camphorvalve.registry.commands import PutManifest
from camphorvalve.wire.messages import ConfigPoll, ConfigUpdate
from tests.routebuilders import a_manifest


class PollTest(unittest.TestCase):
    def setUp(self) -> None:
        self.following = ConfigurationFollower(
            FixedControllers(("c-1", "c-2")),
            Contact("", "perth-a", "10.0.0.1:80"),
            lambda: Load(False, 0, 0),
        )

    def test_first_configuration(self) -> None:
        """Guards against an answer that was dropped, for want of a connection back, and is asked
        for again only a second later (ktc-capsule scale-2: 1.2 s after the controllers)."""
        polls = list(self.following.tick(0.0))
        self.assertEqual({one.peer_id for one in polls}, {"c-1", "c-2"})
        self.assertTrue(all(isinstance(one.message, ConfigPoll) for one in polls))
        self.assertEqual(self.following.tick_s, INITIAL_POLL_S)
        held = configuration.apply_change(configuration.EMPTY, PutManifest(a_manifest(7)))
        update = ConfigUpdate(0, held.revision, 1, configuration.encode(held))
        list(self.following.handle(Sender("c-1", 1), update, 0.1))
        self.assertEqual(self.following.tick_s, POLL_S)

    def test_no_configuration(self) -> None:
        """Guards against a fleet without a configuration whose routers poll quickly for ever."""
        for number in range(INITIAL_POLLS_COUNT):
            list(self.following.tick(INITIAL_POLL_S * number))
        self.assertEqual(self.following.tick_s, POLL_S)


if __name__ == "__main__":
    unittest.main()
