"""Commands for teams with their shares and limits."""

import click

from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import Team

from ..context import ChangeOptions, Context, change_options, output_option


@click.group()
def team() -> None:
    """Teams, their shares and limits."""


@team.command("set")
@click.argument("name")
@click.option(
    "--share",
    type=float,
    default=1.0,
    show_default=True,
    help="Weight when a pool is at capacity.",
)
@click.option(
    "--limit",
    type=click.IntRange(min=0),
    required=True,
    help="Maximum units of work that run at once in the fleet.",
)
@change_options
@click.pass_obj
def set_team(
    context: Context, name: str, share: float, limit: int, options: ChangeOptions
) -> None:
    """Create or replace a team.

    \b
    Example:
      heatherhatch team set siop-bala --share 2 --limit 64
    """
    context.change(Edit(teams=(Team(name, share, limit),)), options)


@team.command("remove")
@click.argument("name")
@change_options
@click.pass_obj
def remove_team(context: Context, name: str, options: ChangeOptions) -> None:
    """Remove a team together with its keys."""
    config = context.configuration()
    keys = [key.key_id for key in config.team_keys.values() if key.team == name]
    removals = [Removal("team-key", key_id) for key_id in sorted(keys)]
    context.change(Edit(removals=(*removals, Removal("team", name))), options)


@team.command("list")
@output_option
def list_teams(context: Context) -> None:
    """List the teams."""
    config = context.configuration()
    rows = [config.teams[name] for name in sorted(config.teams)]
    context.show(rows, rows)
