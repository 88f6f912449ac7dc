"""The command that checks a manifest before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from camphorvalve.cli.client import connect
from camphorvalve.cli.documents import ManifestFile, manifest_of, read_manifest
from camphorvalve.cli.output import CommandError, ExitCode, print_json, print_rows
from camphorvalve.registry.review import Severity, differences, review
from camphorvalve.settings.convert import convert, to_json

if TYPE_CHECKING:
    from camphorvalve.model.routes import Manifest


async def check_configuration(
    file: str,
    *,
    against: str | None = None,
    controller: tuple[str, ...] = (),
    json: bool = False,
) -> None:
    """
    Check a manifest: errors, entries without effect, limits that contradict each other, and what
    differs from the manifest in force.

    Exit code 0 without findings, 1 with findings that the controllers would accept, 2 with errors.

    :param file: the manifest, as JSON with comments
    :param against: file with the manifest to compare with, in place of the one in force
    :param controller: operator URL of a controller, to read the manifest in force; may be repeated
    :param json: print JSON
    """
    manifest = read_manifest(file)
    current = read_manifest(against) if against is not None else await _in_force(controller)
    print_review(manifest, current, json=json)


def print_review(manifest: Manifest, current: Manifest | None, *, json: bool) -> None:
    """
    Print the review of a manifest.

    :param manifest: the manifest
    :param current: the manifest to compare with, if there is one
    :param json: print JSON
    :raises CommandError: there are findings
    """
    findings = list(review(manifest, current))
    changes = [] if current is None else list(differences(current, manifest))
    if json:
        print_json({"findings": to_json(findings), "differences": to_json(changes)})
    else:
        _print_table("findings", to_json(findings))
        _print_table("differences", to_json(changes))
    if any(finding.severity is Severity.ERROR for finding in findings):
        raise CommandError(ExitCode.USAGE, "the manifest would be refused")
    if findings:
        raise CommandError(ExitCode.FAILED, f"{len(findings)} findings")


def _print_table(title: str, rows: list[dict[str, Any]]) -> None:
    print(f"{title}: {len(rows)}")
    if rows:
        print_rows(rows, json=False)


async def _in_force(controllers: tuple[str, ...]) -> Manifest | None:
    if not controllers:
        return None
    async with connect(controllers) as client:
        configuration = await client.read_newest("/v1/configuration")
    fields = configuration["manifest"]
    if fields is None:
        return None
    lists_tenants = fields.pop("lists_tenants") or fields["tenants"]
    tenants = fields["tenants"] if lists_tenants else None
    del fields["source"]
    document, problems = convert(ManifestFile, {**fields, "tenants": tenants})
    if problems:
        shown = "; ".join(map(str, problems))
        raise CommandError(ExitCode.FAILED, f"the manifest in force cannot be read: {shown}")
    return manifest_of(document, b"")


__all__ = ["check_configuration", "print_review"]
