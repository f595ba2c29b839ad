"""Commands that show the audit trail."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import click

from heatherhatch_core.api import AuditPage
from heatherhatch_core.state.changes import (
    KIND_OF_TABLE,
    TABLE_OF_KIND,
    Change,
    name_of,
    table_of,
)

from ..context import Context, output_option
from ..output import format_entity, format_time


@dataclass(frozen=True, slots=True)
class AuditRow:
    """One line of the audit trail: an entity that a change affected."""

    seq: int
    at: str
    actor: str
    kind: str
    name: str
    before: str
    after: str
    reason: str


@dataclass(frozen=True, slots=True)
class AuditFilter:
    """Filter for rows; an empty field matches all rows.

    Attributes:
        actor, kind, name: Required values of the row.
    """

    actor: str = ""
    kind: str = ""
    name: str = ""

    def matches(self, row: AuditRow) -> bool:
        """Return whether a row matches the filter."""
        return (
            self.actor in ("", row.actor)
            and self.kind in ("", row.kind)
            and self.name in ("", row.name)
        )


@dataclass(slots=True)
class _Versions:
    before: str = ""
    after: str = ""


@dataclass(slots=True)
class _AffectedEntities:
    """Entities that one change affected, by kind and name, in order of occurrence."""

    sides: dict[tuple[str, str], _Versions] = field(default_factory=dict)

    def versions_of(self, kind: str, name: str) -> _Versions:
        return self.sides.setdefault((kind, name), _Versions())


@click.command()
@click.option("--actor", default="", help="Only changes by this operator.")
@click.option("--kind", type=click.Choice(sorted(TABLE_OF_KIND)), default=None)
@click.option("--name", default="", help="Only changes of the entity with this name.")
@click.option("--last", type=click.IntRange(min=1), default=50, show_default=True)
@output_option
def audit(context: Context, actor: str, kind: str | None, name: str, last: int) -> None:
    """Show who changed what, when and why, with the values before and after.

    \b
    Examples:
      heatherhatch audit --kind team --name siop-bala
      heatherhatch audit --actor planner --last 10
    """
    _show(context, AuditFilter(actor, kind or "", name), last)


@click.command()
@click.option("--name", default="", help="Only this worker.")
@click.option("--last", type=click.IntRange(min=1), default=50, show_default=True)
@output_option
def moves(context: Context, name: str, last: int) -> None:
    """Show the changes of the state and pool of workers."""
    _show(context, AuditFilter(kind="assignment", name=name), last)


def audit_rows(change: Change) -> Iterator[AuditRow]:
    """Yield a row for each entity that a change affected."""
    affected = _AffectedEntities()
    for entity in change.before.entities:
        kind = KIND_OF_TABLE[table_of(entity)]
        affected.versions_of(kind, name_of(entity)).before = format_entity(entity)
    for entity in change.edit.entities:
        kind = KIND_OF_TABLE[table_of(entity)]
        affected.versions_of(kind, name_of(entity)).after = format_entity(entity)
    for removal in change.edit.removals:
        affected.versions_of(removal.kind, removal.name).after = "removed"
    for (kind, name), versions in affected.sides.items():
        yield AuditRow(
            change.seq,
            format_time(change.at_s),
            change.actor,
            kind,
            name,
            versions.before,
            versions.after,
            change.reason,
        )


def _show(context: Context, audit_filter: AuditFilter, last: int) -> None:
    page = context.client.get("/v1/audit", AuditPage)
    rows = [
        row
        for change in page.changes
        for row in audit_rows(change)
        if audit_filter.matches(row)
    ]
    context.show(rows[-last:], rows[-last:])
