"""Differences between two versions of the platform's configuration."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from cardamomdyke.model.queues import QueueTables

# Keys of accounts are secrets; only their number is shown.
SECRET_FIELDS = frozenset({"keys"})
LIMIT_FIELDS = (
    "body_limit_bytes",
    "header_limit_bytes",
    "header_timeout_seconds",
    "idle_timeout_seconds",
)


class ChangeKind(StrEnum):
    """What happened to a row."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """A difference between two versions.

    Attributes
    ----------
    kind : ChangeKind
        What happened to the row.
    row : str
        Kind and name of the row.
    detail : str
        Former and new value of each field that differs; empty for other kinds.
    """

    kind: ChangeKind
    row: str
    detail: str = ""


def list_changes(former: QueueTables, tables: QueueTables) -> list[Change]:
    """Return what a configuration changes in a former one.

    Parameters
    ----------
    former : QueueTables
        Version in force.
    tables : QueueTables
        Version that would replace it.

    Returns
    -------
    list of Change
        Queues first, then services, accounts and limits; rows by name.
    """
    return [
        *compare_rows("queue", former.routes_by_name, tables.routes_by_name),
        *compare_rows("service", former.pools, tables.pools),
        *compare_rows("account", former.accounts_by_name, tables.accounts_by_name),
        *compare_limits(former, tables),
    ]


def compare_rows(
    noun: str, former: Mapping[str, Any], rows: Mapping[str, Any]
) -> Iterator[Change]:
    """Yield the changes of a table, with rows by name."""
    for name in sorted(former.keys() | rows.keys()):
        row = f"{noun} {name!r}"
        if name not in rows:
            yield Change(ChangeKind.REMOVED, row)
        elif name not in former:
            yield Change(ChangeKind.ADDED, row)
        elif former[name] != rows[name]:
            yield Change(
                ChangeKind.CHANGED, row, compare_fields(former[name], rows[name])
            )


def compare_fields(former: Any, row: Any) -> str:
    """Return the fields that differ, with both values."""
    parts = []
    for item in fields(row):
        old, new = getattr(former, item.name), getattr(row, item.name)
        if old == new:
            continue
        if item.name in SECRET_FIELDS:
            parts.append(
                f"{item.name} {len(new - old)} added, {len(old - new)} removed"
            )
        else:
            parts.append(f"{item.name} from {old!r} to {new!r}")
    return ", ".join(parts)


def compare_limits(former: QueueTables, tables: QueueTables) -> Iterator[Change]:
    """Yield a change per limit that differs."""
    for name in LIMIT_FIELDS:
        old, new = getattr(former, name), getattr(tables, name)
        if old != new:
            yield Change(ChangeKind.CHANGED, f"limit {name}", f"from {old} to {new}")
