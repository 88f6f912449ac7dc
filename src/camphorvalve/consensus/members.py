"""Identities of replicas, quorums, and members that a newer replica supersedes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence


def identity(host_id: str, disk_id: str) -> str:
    """
    Build the identity of a replica; a different disk on the same host is a different replica.

    :param host_id: id of the host
    :param disk_id: id of the data folder
    :return: the identity
    """
    return f"{host_id}#{disk_id}"


def host_of(replica: str) -> str:
    """
    Extract the host from the identity of a replica.

    :param replica: identity of the replica
    :return: id of the host
    """
    return replica.rpartition("#")[0]


def is_quorum(members: Collection[str], present: Iterable[str]) -> bool:
    """
    Check whether a set of replicas includes a majority of the members.

    :param members: identities of the members
    :param present: identities, members or not
    :return: whether more than half of the members are present
    """
    return 2 * len(set(members).intersection(present)) > len(members)


def quorum_value(values: Sequence[float]) -> float:
    """
    Find the highest value that a majority of the members has reached.

    :param values: one value per member
    :return: the value
    """
    return sorted(values)[(len(values) - 1) // 2]


def superseded_member(members: Sequence[str]) -> str | None:
    """
    Find a member that a later member on the same host supersedes.

    :param members: identities in the order in which they were added
    :return: the superseded identity, or ``None``
    """
    hosts = [host_of(member) for member in members]
    for position, member in enumerate(members):
        if host_of(member) in hosts[position + 1 :]:
            return member
    return None


__all__ = ["host_of", "identity", "is_quorum", "quorum_value", "superseded_member"]
