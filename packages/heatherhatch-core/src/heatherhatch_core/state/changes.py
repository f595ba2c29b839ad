"""Changes of the configuration: how they are validated and applied."""

import dataclasses
from dataclasses import dataclass
from functools import singledispatch
from typing import Literal

from ..exceptions import ErrorKind, HeatherhatchError
from .budget import check_budgets
from .configuration import Configuration
from .entities import (
    Assignment,
    OperatorKey,
    Pool,
    Team,
    TeamKey,
    Wave,
    WorkClass,
    Worker,
)
from .fleet_index import update_index
from .transitions import implicit_problems, transition_problems

EntityKind = Literal[
    "pool", "team", "team-key", "operator-key", "class", "worker", "wave", "assignment"
]
Entity = Pool | Team | TeamKey | OperatorKey | WorkClass | Worker | Wave | Assignment


@dataclass(frozen=True, slots=True)
class Removal:
    """Removal of one entity.

    Attributes:
        kind: Kind of the entity.
        name: Unique name of the entity.
    """

    kind: EntityKind
    name: str


@dataclass(frozen=True, slots=True)
class Edit:
    """Any number of puts and removals that are applied atomically.

    Attributes:
        pools, teams, team_keys, operator_keys, classes, workers, waves, assignments:
            Entities to create or replace.
        removals: Entities to remove.
    """

    pools: tuple[Pool, ...] = ()
    teams: tuple[Team, ...] = ()
    team_keys: tuple[TeamKey, ...] = ()
    operator_keys: tuple[OperatorKey, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    workers: tuple[Worker, ...] = ()
    waves: tuple[Wave, ...] = ()
    assignments: tuple[Assignment, ...] = ()
    removals: tuple[Removal, ...] = ()

    @property
    def entities(self) -> tuple[Entity, ...]:
        """Every entity that the edit puts, in the order of application."""
        return (
            *self.pools,
            *self.teams,
            *self.team_keys,
            *self.operator_keys,
            *self.classes,
            *self.workers,
            *self.waves,
            *self.assignments,
        )

    @property
    def touched_workers(self) -> frozenset[str]:
        """Workers whose pool or state the edit may change."""
        return frozenset(
            [
                *(worker.worker_id for worker in self.workers),
                *(item.worker_id for item in self.assignments),
                *(
                    removal.name
                    for removal in self.removals
                    if removal.kind in ("worker", "assignment")
                ),
            ]
        )


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted entry of the configuration log.

    Attributes:
        seq: Position in the log, counted from 1 without gaps.
        change_id: Unique id by which a writer recognises its own change.
        actor: Operator who made the change.
        reason: Reason stated by the operator.
        at_s: Time of acceptance, seconds since the epoch.
        edit: Entities to put and to remove.
        before: Entities that the edit replaced or removed, for the audit trail.
    """

    seq: int
    change_id: str
    actor: str
    reason: str
    at_s: float
    edit: Edit
    before: Edit = Edit()


def replaced_entities(config: Configuration, edit: Edit) -> Edit:
    """Return the entities that an edit replaces or removes, as another edit."""
    before: dict[str, dict[str, Entity]] = {}
    touched = [(table_of(item), name_of(item)) for item in edit.entities]
    touched += [(TABLE_OF_KIND[item.kind], item.name) for item in edit.removals]
    for table, name in touched:
        entity = getattr(config, table).get(name)
        if entity is not None:
            before.setdefault(table, {})[name] = entity
    return Edit(**{table: tuple(found.values()) for table, found in before.items()})


def apply_change(config: Configuration, change: Change) -> Configuration:
    """Return the configuration after the next change.

    Args:
        config: Configuration with ``config.seq == change.seq - 1``.
        change: Next entry of the log.

    Raises:
        HeatherhatchError: ``CONFLICT`` if the change is not the next one in the log.
    """
    if change.seq != config.seq + 1:
        raise HeatherhatchError(
            ErrorKind.CONFLICT,
            f"change {change.seq} does not follow position {config.seq}",
        )
    # Tables that a change does not modify are shared with its predecessor.
    touched: dict[str, dict] = {}
    for entity in change.edit.entities:
        table = _writable_table(config, touched, table_of(entity))
        table[name_of(entity)] = _with_seq(entity, change.seq)
    for removal in change.edit.removals:
        _writable_table(config, touched, TABLE_OF_KIND[removal.kind]).pop(
            removal.name, None
        )
        if removal.kind == "worker" and removal.name in config.assignments:
            _writable_table(config, touched, "assignments").pop(removal.name, None)
    after = dataclasses.replace(config, seq=change.seq, **touched)
    after.set_index(update_index(config, after, change.edit.touched_workers))
    return after


@singledispatch
def _with_seq(entity: Entity, seq: int) -> Entity:
    return entity


@_with_seq.register
def _(entity: Assignment, seq: int) -> Assignment:
    return dataclasses.replace(entity, seq=seq)


def _writable_table(
    config: Configuration, touched: dict[str, dict], table: str
) -> dict:
    if table not in touched:
        touched[table] = dict(getattr(config, table))
    return touched[table]


TABLE_OF_KIND: dict[str, str] = {
    "pool": "pools",
    "team": "teams",
    "team-key": "team_keys",
    "operator-key": "operator_keys",
    "class": "classes",
    "worker": "workers",
    "wave": "waves",
    "assignment": "assignments",
}
KIND_OF_TABLE = {table: kind for kind, table in TABLE_OF_KIND.items()}


@singledispatch
def table_of(entity: Entity) -> str:
    """Return the name of the configuration table that holds an entity."""
    raise TypeError(f"no table for {type(entity).__name__}")


table_of.register(Pool, lambda _: "pools")
table_of.register(Team, lambda _: "teams")
table_of.register(TeamKey, lambda _: "team_keys")
table_of.register(OperatorKey, lambda _: "operator_keys")
table_of.register(WorkClass, lambda _: "classes")
table_of.register(Worker, lambda _: "workers")
table_of.register(Wave, lambda _: "waves")
table_of.register(Assignment, lambda _: "assignments")


@singledispatch
def name_of(entity: Entity) -> str:
    """Return the unique name of an entity within its table."""
    return entity.name


name_of.register(TeamKey, lambda key: key.key_id)
name_of.register(OperatorKey, lambda key: key.key_id)
name_of.register(Worker, lambda worker: worker.worker_id)
name_of.register(Wave, lambda wave: wave.wave_id)
name_of.register(Assignment, lambda item: item.worker_id)


def check_edit(config: Configuration, edit: Edit) -> None:
    """Check that an edit is valid and leaves the configuration consistent.

    Args:
        config: Configuration that the edit would be applied to.
        edit: Edit to check.

    Raises:
        HeatherhatchError: ``INVALID_CHANGE`` with every problem in its detail;
            ``BUDGET_EXCEEDED`` if a voluntary transition takes a pool below its
            budget.
    """
    trial_change = Change(config.seq + 1, "", "", "", 0.0, edit)
    after = apply_change(config, trial_change)
    problems = [
        f"{removal.kind} {removal.name!r} does not exist"
        for removal in edit.removals
        if removal.name not in getattr(config, TABLE_OF_KIND[removal.kind])
    ]
    problems += transition_problems(config, after, edit.assignments)
    problems += implicit_problems(config, after, edit)
    # Assignments refer only to workers and pools; transition_problems has already
    # checked these references.
    if edit.entities != edit.assignments or edit.removals:
        problems += after.problems()
    if problems:
        raise HeatherhatchError(ErrorKind.INVALID_CHANGE, "; ".join(problems))
    check_budgets(config, after, edit)
