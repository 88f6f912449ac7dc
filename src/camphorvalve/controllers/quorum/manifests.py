"""Commits manifests to the replicated log and reads the newest one, on any controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import structlog

from camphorvalve.controllers.quorum.resubmission import Resubmitter
from camphorvalve.model.errors import RequestError
from camphorvalve.registry.commands import Conflict, Done, Invalid, PutManifest
from camphorvalve.registry.review import Severity, review

if TYPE_CHECKING:
    from camphorvalve.controllers.quorum.replication import ReplicationController
    from camphorvalve.model.routes import Manifest
    from camphorvalve.registry.commands import Outcome
    from camphorvalve.registry.review import Finding

PUT_TIMEOUT_S = 2.5
"""May exceed the one second after which clients switch to another controller, as they resend the
manifest there."""
READ_TIMEOUT_S = 0.9
"""Below the one second after which clients switch to another controller."""
MAX_LOGGED_FINDINGS_COUNT = 3

_log = structlog.get_logger(__name__)


class ManifestStore:
    """Puts and reads manifests through the replicated log, whichever controller leads."""

    def __init__(
        self, replication: ReplicationController, regions: frozenset[str] = frozenset()
    ) -> None:
        """
        Prepare the store.

        :param replication: the replicated state
        :param regions: regions that have data centres, empty if they are unknown
        """
        self._regions = regions
        self._replication = replication
        self._resubmitter = Resubmitter(replication, "resubmitting the manifest")

    async def put(self, manifest: Manifest) -> int:
        """
        Commit a manifest; one that is older than the current one is acknowledged without effect.

        :param manifest: the manifest
        :return: revision of the configuration that holds this manifest or a newer one
        :raises RequestError: ``bad_body`` if it is invalid, ``conflict`` if the current manifest
            has the same version and other content, ``no_quorum`` if it is not known to be committed
        """
        findings: list[Finding] = []
        for finding in review(manifest, regions=self._regions):
            if finding.severity is Severity.ERROR:
                raise RequestError("bad_body", finding.message)
            findings.append(finding)
        # Checking and encoding a large manifest take a while each.
        await anyio.lowlevel.checkpoint()
        outcome = await self._commit(PutManifest(manifest))
        _log.info(
            "manifest decided",
            version=manifest.version,
            outcome=type(outcome).__name__,
            routes_count=len(manifest.routes),
            findings_count=len(findings),
            findings=[
                f"{field}: {text}" for _, field, text in findings[:MAX_LOGGED_FINDINGS_COUNT]
            ],
        )
        match outcome:
            case Done(revision=revision):
                return revision
            case Conflict(reason=reason):
                raise RequestError("conflict", reason)
            case Invalid(reason):
                raise RequestError("bad_body", reason)
            case unexpected:
                raise RequestError("internal_error", f"unexpected outcome {unexpected!r}")

    async def read(self) -> Manifest | None:
        """
        Read the newest manifest; a majority confirms that there is no newer one.

        :return: the manifest, ``None`` before the first one
        :raises RequestError: ``no_quorum`` if no majority confirms in time
        """
        with anyio.move_on_after(READ_TIMEOUT_S):
            await self._resubmitter.confirm(READ_TIMEOUT_S)
            return self._replication.state.configuration.manifest
        raise RequestError("no_quorum", "no majority of the controllers can be reached")

    async def _commit(self, command: PutManifest) -> Outcome:
        # Resending is safe: committing the current manifest again changes nothing.
        with anyio.move_on_after(PUT_TIMEOUT_S):
            return await self._resubmitter.commit(command)
        raise RequestError("no_quorum", "the manifest is not known to be committed")


__all__ = ["ManifestStore"]
