"""The audit trail."""

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
from ..output import brief, time_text


@dataclass(frozen=True, slots=True)
class AuditRow:
    """One thing that one change did."""

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
    """Which rows are wanted; empty texts mean all.

    Attributes:
        actor, kind, name: What a row must have.
    """

    actor: str = ""
    kind: str = ""
    name: str = ""

    def admits(self, row: AuditRow) -> bool:
        """Tell whether a row is wanted."""
        return (
            self.actor in ("", row.actor)
            and self.kind in ("", row.kind)
            and self.name in ("", row.name)
        )


@dataclass(slots=True)
class _Sides:
    before: str = ""
    after: str = ""


@dataclass(slots=True)
class _Subjects:
    """What one change touched, by kind and name, in its order."""

    sides: dict[tuple[str, str], _Sides] = field(default_factory=dict)

    def side(self, kind: str, name: str) -> _Sides:
        return self.sides.setdefault((kind, name), _Sides())


@click.command()
@click.option("--actor", default="", help="Only changes of this operator.")
@click.option("--kind", type=click.Choice(sorted(TABLE_OF_KIND)), default=None)
@click.option("--name", default="", help="Only changes of the thing with this name.")
@click.option("--last", type=click.IntRange(min=1), default=50, show_default=True)
@output_option
def audit(context: Context, actor: str, kind: str | None, name: str, last: int) -> None:
    """Show who changed what, when and why, before and after.

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
    """Show the changes of state and pool that workers made."""
    _show(context, AuditFilter(kind="assignment", name=name), last)


def audit_rows(change: Change) -> Iterator[AuditRow]:
    """Yield a row for each thing that a change touched."""
    subjects = _Subjects()
    for entity in change.before.entities:
        kind = KIND_OF_TABLE[table_of(entity)]
        subjects.side(kind, name_of(entity)).before = brief(entity)
    for entity in change.edit.entities:
        kind = KIND_OF_TABLE[table_of(entity)]
        subjects.side(kind, name_of(entity)).after = brief(entity)
    for removal in change.edit.removals:
        subjects.side(removal.kind, removal.name).after = "removed"
    for (kind, name), side in subjects.sides.items():
        yield AuditRow(
            change.seq,
            time_text(change.at_s),
            change.actor,
            kind,
            name,
            side.before,
            side.after,
            change.reason,
        )


def _show(context: Context, wanted: AuditFilter, last: int) -> None:
    page = context.client.get("/v1/audit", AuditPage)
    rows = [
        row
        for change in page.changes
        for row in audit_rows(change)
        if wanted.admits(row)
    ]
    context.show(rows[-last:], rows[-last:])
