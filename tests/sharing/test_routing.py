"""Guards against requests that are sent to a pool by the wrong route."""

from __future__ import annotations

import unittest
from collections import Counter

from camphorvalve.model.routes import Destination, Tenant
from camphorvalve.sharing.routing import RouteTable, split
from tests.routebuilders import a_manifest, a_route


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix(self) -> None:
        """Guards against matching a shorter prefix when a longer one matches too."""
        routes = (
            a_route(name="all", path_prefix="/"),
            a_route(name="drafts", path_prefix="/drafts/"),
            a_route(name="old", path_prefix="/drafts/old/"),
            a_route(name="other", host="other.example", path_prefix="/x/"),
        )
        table = RouteTable(a_manifest(routes=routes))
        rows = [
            ("desk.example", "/drafts/old/1", "old"),
            ("desk.example", "/drafts/old", "drafts"),
            ("desk.example", "/drafts/1?to=/drafts/old/", "drafts"),
            ("DESK.example:80", "/x/1", "all"),
            ("other.example", "/x/1", "other"),
            ("other.example", "/drafts/1", None),
            ("third.example", "/", None),
            ("", "/", None),
        ]
        for host, target, expected in rows:
            with self.subTest(host=host, target=target):
                matched = table.find(host, target)
                self.assertEqual(None if matched is None else matched.name, expected)

    def test_teams(self) -> None:
        """Guards against accepting an unknown key as that of a team."""
        table = RouteTable(a_manifest())
        self.assertEqual(table.team("key-1").name, "youth")
        self.assertIsNone(table.team("key-2"))
        self.assertIsNone(table.team(""))

    def test_ranks(self) -> None:
        """Guards against a route's priority that overrides its team's or counts at other pools."""
        routes = (
            a_route(name="urgent", path_prefix="/a/", priority=0),
            a_route(name="normal", path_prefix="/b/", priority=1),
            a_route(name="elsewhere", destinations=(Destination("desk", 1.0),), priority=0),
        )
        tenants = (Tenant("first", ("k1",), 1), Tenant("second", ("k2",), 2))
        table = RouteTable(a_manifest(routes=routes, tenants=tenants))
        rows = [
            ("urgent", "first", 0),
            ("normal", "first", 1),
            ("urgent", "second", 2),
            ("normal", "second", 3),
        ]
        by_name = {route.name: route for route in routes}
        for name, team, expected in rows:
            with self.subTest(name=name, team=team):
                self.assertEqual(
                    table.more_urgent_ranks_count(by_name[name], team, "engines"), expected
                )
        self.assertEqual(
            RouteTable(a_manifest()).more_urgent_ranks_count(a_route(), "youth", "engines"), 0
        )


class SplitTest(unittest.TestCase):
    def test_weights(self) -> None:
        """Guards against a split that ignores the weights or chooses a destination of weight 0."""
        route = a_route(
            destinations=(Destination("a", 90), Destination("none", 0), Destination("b", 10))
        )
        counts = Counter(split(route, n / 1000) for n in range(1000))
        self.assertEqual(counts, {"a": 900, "b": 100})
        self.assertEqual(split(route, 1.0), "b")


if __name__ == "__main__":
    unittest.main()
