"""Commands that show the plan for the announced waves."""

from dataclasses import dataclass

import click

from heatherhatch_core.api import PlanAnswer
from heatherhatch_core.coordination.planner import Move, Plan

from ..calendar import draw_calendar
from ..context import Context, output_option
from ..output import format_time


@dataclass(frozen=True, slots=True)
class MoveRow:
    """One line of the list of planned moves."""

    at: str
    worker: str
    from_pool: str
    to_pool: str
    reason: str


@click.group()
def plan() -> None:
    """The plan for the announced waves.

    Plans need no approval: the provider sets the dates, and a plan that waits
    for an operator would violate an availability budget at night. To prevent a
    planned move, change what the plan is computed from, for example by a lower
    --min-available.
    """


@plan.command("show")
@output_option
def show_plan(context: Context) -> None:
    """List the planned moves and the shortfalls."""
    current_plan = _fetch_plan(context)
    context.show(current_plan, [_row(move) for move in current_plan.moves])
    if context.output == "table":
        _print_shortfalls(current_plan)


@plan.command("explain")
@click.argument("name")
@output_option
def explain(context: Context, name: str) -> None:
    """Explain the planned moves of a worker, a pool or a wave.

    \b
    Example:
      heatherhatch plan explain bala
    """
    current_plan = _fetch_plan(context)
    moves = [move for move in current_plan.moves if _concerns(move, name)]
    if context.output != "table":
        context.show(moves, ())
        return
    for move in moves:
        row = _row(move)
        click.echo(f"{row.at}  {row.worker}: {row.from_pool} -> {row.to_pool}")
        click.echo(f"    because {row.reason}")
    if not moves:
        click.echo(f"no planned move concerns {name!r}")


@plan.command("calendar")
@click.option("--days", type=click.FloatRange(min=0.1), default=21.0, show_default=True)
@click.pass_obj
def calendar(context: Context, days: float) -> None:
    """Draw the waves and the headroom of each pool over time."""
    current_plan = _fetch_plan(context)
    for line in draw_calendar(context.configuration(), current_plan, days):
        click.echo(line)
    _print_shortfalls(current_plan)


def _fetch_plan(context: Context) -> Plan:
    return context.client.get("/v1/plan", PlanAnswer).plan


def _row(move: Move) -> MoveRow:
    return MoveRow(
        format_time(move.at_s),
        move.worker_id,
        move.from_pool,
        move.to_pool,
        move.reason,
    )


def _concerns(move: Move, name: str) -> bool:
    named = (move.worker_id, move.from_pool, move.to_pool)
    return name in named or name in move.reason.split()


def _print_shortfalls(current_plan: Plan) -> None:
    for item in current_plan.shortfalls:
        click.echo(
            f"shortfall: pool {item.pool} lacks {item.missing} workers"
            f" in wave {item.wave_id} from {format_time(item.at_s)}"
        )
