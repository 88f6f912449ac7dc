"""Files with which a controller knows where streams began after all processes were killed."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import msgspec
import structlog

from camphorvalve.persistence.recordfile import RecordFile
from camphorvalve.persistence.stamps import Stamp, elapsed, take_stamp
from camphorvalve.sharing.versions import MAX_GAP_S, SavedVersions
from camphorvalve.wire.messages import OriginGroup  # noqa: TC001 -- decoded as a field

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from camphorvalve.controllers.listing import ListPublisher
    from camphorvalve.controllers.origins import OriginsKeeper

VERSIONS_FILE = "versions"
ORIGINS_FILE = "origins"
WRITE_INTERVAL_S = 0.05
"""Time after which a stream that was reported is in the file: less than between two events."""

_log = structlog.get_logger(__name__)


class _VersionsRecord(NamedTuple):
    saved: Stamp
    versions: SavedVersions


class _OriginsRecord(NamedTuple):
    saved: Stamp
    groups: tuple[OriginGroup, ...]


class VersionsFile:
    """Keeps the software versions that a controller has read in the list."""

    def __init__(
        self,
        folder: str,
        listing: ListPublisher,
        take_stamp: Callable[[], Stamp] = take_stamp,
    ) -> None:
        """
        Use the file in a data folder.

        :param folder: data folder of the controller
        :param listing: owner of the versions
        :param take_stamp: returns the current moment
        """
        self._file = RecordFile(Path(folder) / VERSIONS_FILE)
        self._listing = listing
        self._take_stamp = take_stamp

    def restore(self, now_s: float) -> None:
        """
        Restore what the former process has read, and have the list read at once if the history
        may go on without a gap.

        :param now_s: monotonic time
        """
        records = list(_decoded(self._file, _VersionsRecord))
        if not records:
            return
        newest = records[-1]
        since = elapsed(newest.saved, self._take_stamp())
        self._listing.versions.restore(newest.versions, since, now_s)
        if since.most_s <= MAX_GAP_S:
            self._listing.continue_reading(now_s)
        _log.info("versions restored", **since._asdict(), **newest.versions.report._asdict())

    def save(self, now_s: float) -> None:
        """
        Write what is known after a read of the list.

        :param now_s: monotonic time
        """
        versions = self._listing.versions.save(now_s)
        if versions is None or not self._file.is_usable:
            return
        payload = msgspec.msgpack.encode(_VersionsRecord(self._take_stamp(), versions))
        if self._file.must_rewrite:
            self._file.rewrite([payload])
        else:
            self._file.append(payload)
            self._file.sync()


class OriginsFile:
    """Keeps the streams that routers have reported to a controller."""

    def __init__(
        self,
        folder: str,
        keeper: OriginsKeeper,
        take_stamp: Callable[[], Stamp] = take_stamp,
    ) -> None:
        """
        Use the file in a data folder.

        :param folder: data folder of the controller
        :param keeper: owner of the streams
        :param take_stamp: returns the current moment
        """
        self._file = RecordFile(Path(folder) / ORIGINS_FILE)
        self._keeper = keeper
        self._take_stamp = take_stamp

    def restore(self, now_s: float) -> None:
        """
        Restore the streams that the former process has kept.

        :param now_s: monotonic time
        """
        now = self._take_stamp()
        for saved, groups in _decoded(self._file, _OriginsRecord):
            saved_s = now_s - elapsed(saved, now).least_s
            self._keeper.restore(groups, saved_s, now_s)
        if self._keeper.streams_count():
            _log.info("streams restored", streams_count=self._keeper.streams_count())

    def save(self, now_s: float) -> None:
        """
        Write the streams that were reported since the last call.

        :param now_s: monotonic time
        """
        if self._keeper.unsaved_count and self._file.is_usable:
            if self._file.must_rewrite:
                self._file.rewrite([self._record(self._keeper.save(now_s))])
            else:
                self._file.append(self._record(self._keeper.take_unsaved(now_s)))
        self._file.sync()

    async def run(self) -> None:
        """Save streams until cancelled."""
        while True:
            await self._keeper.wait_for_report()
            while self._keeper.unsaved_count or not self._file.is_synced:
                await anyio.sleep(WRITE_INTERVAL_S)
                self.save(time.monotonic())

    def _record(self, groups: list[OriginGroup]) -> bytes:
        return msgspec.msgpack.encode(_OriginsRecord(self._take_stamp(), tuple(groups)))


def _decoded(file: RecordFile, record_type: type[Any]) -> Iterator[Any]:
    for payload in file.read():
        try:
            yield msgspec.msgpack.decode(payload, type=record_type)
        except msgspec.MsgspecError as error:
            # Another version of this program has written it.
            _log.warning("record skipped", record_type=record_type.__name__, reason=str(error))


__all__ = ["OriginsFile", "VersionsFile"]
