"""Desired configurations from files, and the edits that apply them."""

from dataclasses import dataclass, fields

from .changes import KIND_OF_TABLE, Edit, Removal, name_of, table_of
from .configuration import Configuration
from .entities import Pool, Team, Wave, WorkClass, Worker


@dataclass(frozen=True, slots=True)
class Desired:
    """The configuration that an operator writes, without keys and assignments.

    Attributes:
        pools, teams, classes, workers, waves: All entities of each kind.
    """

    pools: tuple[Pool, ...] = ()
    teams: tuple[Team, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    workers: tuple[Worker, ...] = ()
    waves: tuple[Wave, ...] = ()


def desired_of(config: Configuration) -> Desired:
    """Return the desired configuration that describes a configuration."""
    return Desired(
        **{
            item.name: tuple(_ordered(getattr(config, item.name)))
            for item in fields(Desired)
        }
    )


def edit_towards(config: Configuration, desired: Desired, prune: bool) -> Edit:
    """Return the edit that changes a configuration into a desired one.

    Args:
        config: Configuration that is in force.
        desired: Desired configuration.
        prune: True to remove entities that the desired configuration does not
            contain.
    """
    puts = {}
    removals = []
    for item in fields(Desired):
        present = getattr(config, item.name)
        wanted = {name_of(entity): entity for entity in getattr(desired, item.name)}
        puts[item.name] = tuple(
            entity for name, entity in wanted.items() if present.get(name) != entity
        )
        if prune:
            kind = KIND_OF_TABLE[item.name]
            unlisted = sorted(set(present) - set(wanted))
            removals += [Removal(kind, name) for name in unlisted]
    return Edit(**puts, removals=tuple(removals))


def describe_edit(config: Configuration, edit: Edit) -> list[str]:
    """Return a line for each entity that an edit changes.

    A line starts with ``+`` for a new entity, ``~`` for a changed one and ``-`` for
    a removed one.
    """
    lines = []
    for entity in edit.entities:
        table = table_of(entity)
        before = getattr(config, table).get(name_of(entity))
        kind = KIND_OF_TABLE[table]
        if before is None:
            lines.append(f"+ {kind} {name_of(entity)}")
        else:
            lines.append(f"~ {kind} {name_of(entity)}: {_differences(before, entity)}")
    lines += [f"- {item.kind} {item.name}" for item in edit.removals]
    return lines


def _differences(before: object, after: object) -> str:
    changed = [
        f"{item.name} {getattr(before, item.name)!r} -> {getattr(after, item.name)!r}"
        for item in fields(after)
        if getattr(before, item.name) != getattr(after, item.name)
    ]
    return ", ".join(changed)


def _ordered(table: dict) -> list:
    return [table[name] for name in sorted(table)]
