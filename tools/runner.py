"""Runs the unittest suite and tolerates only failures of the tests listed in KNOWN-RED.txt."""

from __future__ import annotations

import sys
import time
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).resolve().parent.parent


class KnownFailure(NamedTuple):
    """An entry of KNOWN-RED.txt: a test that is known to fail."""

    test_id: str
    command: str
    observed: str
    issue: str


def read_known_failures(path: Path) -> Iterator[KnownFailure]:
    """
    Read the tests that are known to fail.

    :param path: file with one entry per line, fields separated by ``|``
    :return: the entries
    :raises ValueError: a line does not have exactly four fields
    """
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4:
            raise ValueError(f"{path.name}:{number}: expected four fields separated by '|'")
        yield KnownFailure(*fields)


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _flatten(item)
        else:
            yield item


class _TimedResult(unittest.TextTestResult):
    """Prints the duration of tests that take longer than a second, to make slow ones visible."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self._started_s = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        took_s = time.monotonic() - self._started_s
        if took_s > 1:
            self.stream.writeln(f"{test.id()} took {took_s:.1f} s")
        super().stopTest(test)


def main(patterns: list[str]) -> int:
    """
    Run the tests whose id contains one of the patterns, or all tests if there are none.

    :param patterns: substrings of test ids
    :return: the exit status
    """
    known = {entry.test_id: entry for entry in read_known_failures(ROOT / "KNOWN-RED.txt")}
    discovered = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    selected = unittest.TestSuite(
        test
        for test in _flatten(discovered)
        if not patterns or any(pattern in test.id() for pattern in patterns)
    )
    result = unittest.TextTestRunner(resultclass=_TimedResult, buffer=True).run(selected)
    failed = {test.id() for test, _ in [*result.failures, *result.errors]}
    for test_id in sorted(failed & known.keys()):
        print(f"known red: {test_id}: {known[test_id].observed} (issue {known[test_id].issue})")
    unexpected = sorted(failed - known.keys())
    for test_id in unexpected:
        print(f"failed: {test_id}")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))


__all__ = ["KnownFailure", "main", "read_known_failures"]
