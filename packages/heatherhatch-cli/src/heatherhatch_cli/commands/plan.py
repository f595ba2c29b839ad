"""The plan for the announced waves."""

from dataclasses import dataclass

import click

from heatherhatch_core.api import PlanAnswer
from heatherhatch_core.coordination.planner import Move, Plan

from ..calendar import draw_calendar
from ..context import Context, output_option
from ..output import time_text


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

    Plans need no approval: dates are the provider's, and a plan that waits for
    a person would break a budget at night. A planned move that is not wanted
    is prevented by changing what the plan follows from, for example by a
    lower --min-available.
    """


@plan.command("show")
@output_option
def show_plan(context: Context) -> None:
    """List the planned moves and the shortfalls."""
    found = _plan(context)
    context.show(found, [_row(move) for move in found.moves])
    if context.output == "table":
        _echo_shortfalls(found)


@plan.command("explain")
@click.argument("name")
@output_option
def explain(context: Context, name: str) -> None:
    """Tell why a worker, a pool or a wave has moves in the plan.

    \b
    Example:
      heatherhatch plan explain bala
    """
    found = _plan(context)
    moves = [move for move in found.moves if _concerns(move, name)]
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
    """Draw the waves and the serving workers of each pool."""
    found = _plan(context)
    for line in draw_calendar(context.configuration(), found, days):
        click.echo(line)
    _echo_shortfalls(found)


def _plan(context: Context) -> Plan:
    return context.client.get("/v1/plan", PlanAnswer).plan


def _row(move: Move) -> MoveRow:
    return MoveRow(
        time_text(move.at_s), move.worker_id, move.from_pool, move.to_pool, move.reason
    )


def _concerns(move: Move, name: str) -> bool:
    named = (move.worker_id, move.from_pool, move.to_pool)
    return name in named or name in move.reason.split()


def _echo_shortfalls(found: Plan) -> None:
    for item in found.shortfalls:
        click.echo(
            f"shortfall: pool {item.pool} lacks {item.missing} workers"
            f" in wave {item.wave_id} from {time_text(item.at_s)}"
        )
