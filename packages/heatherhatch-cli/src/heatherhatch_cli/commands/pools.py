"""Commands for pools of workers."""

from dataclasses import dataclass

import click

from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, WorkerState

from ..context import ChangeOptions, Context, change_options, output_option


@dataclass(frozen=True, slots=True)
class PoolRow:
    """One line of the list of pools."""

    name: str
    min_available: int
    serving: int
    workers: int
    spare: bool


@click.group()
def pool() -> None:
    """Pools of workers and their availability budgets."""


@pool.command("set")
@click.argument("name")
@click.option(
    "--min-available",
    type=click.IntRange(min=0),
    required=True,
    help="Minimum number of serving workers at any time.",
)
@click.option("--spare", is_flag=True, help="The pool lends its workers to others.")
@change_options
@click.pass_obj
def set_pool(
    context: Context, name: str, min_available: int, spare: bool, options: ChangeOptions
) -> None:
    """Create or replace a pool.

    \b
    Example:
      heatherhatch pool set bala --min-available 4
    """
    context.change(Edit(pools=(Pool(name, min_available, spare),)), options)


@pool.command("remove")
@click.argument("name")
@change_options
@click.pass_obj
def remove_pool(context: Context, name: str, options: ChangeOptions) -> None:
    """Remove a pool that has no workers and serves no class of work."""
    context.change(Edit(removals=(Removal("pool", name),)), options)


@pool.command("list")
@output_option
def list_pools(context: Context) -> None:
    """List the pools with the current numbers of their workers."""
    rows = pool_rows(context.configuration())
    context.show(rows, rows)


def pool_rows(config: Configuration) -> tuple[PoolRow, ...]:
    """Return a row for each pool, ordered by name."""
    return tuple(_row(config, config.pools[name]) for name in sorted(config.pools))


def _row(config: Configuration, entry: Pool) -> PoolRow:
    members = [name for name in config.workers if config.pool_of(name) == entry.name]
    serving = [name for name in members if config.state_of(name) is WorkerState.SERVING]
    return PoolRow(
        entry.name, entry.min_available, len(serving), len(members), entry.spare
    )
