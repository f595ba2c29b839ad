"""Entry point of the command-line client for operators."""

import click
from click.shell_completion import get_completion_class

from .commands.audit import audit, moves
from .commands.classes import work_class
from .commands.files import apply, diff, export
from .commands.jobs import job
from .commands.keys import key, operator
from .commands.plan import plan
from .commands.pools import pool
from .commands.status import status
from .commands.teams import team
from .commands.waves import wave
from .commands.workers import worker
from .context import Context, ErrorGroup
from .output import FORMATS

SHELLS = ("bash", "zsh", "fish")


@click.group(cls=ErrorGroup)
@click.option(
    "--address",
    envvar="HEATHERHATCH_ADDRESS",
    default="",
    help="host:port of a daemon's operators' API.",
)
@click.option(
    "--token",
    envvar="HEATHERHATCH_TOKEN",
    default="",
    help="Operator key; preferably set in HEATHERHATCH_TOKEN.",
)
@click.option(
    "--output", type=click.Choice(FORMATS), default="table", show_default=True
)
@click.pass_context
def main(ctx: click.Context, address: str, token: str, output: str) -> None:
    """Operate a heatherhatch system.

    Configure pools, teams with keys and limits, and a target for each class of
    work; the system works to meet them.

    \b
    Examples:
      heatherhatch status
      heatherhatch apply examples/ciosg.yaml --reason "first set-up" --wait
      heatherhatch key grant siop-bala
      heatherhatch plan calendar
    """
    ctx.obj = Context(address, token, output)


@main.command()
@click.argument("shell", type=click.Choice(SHELLS))
def completion(shell: str) -> None:
    """Print the completion script for a shell.

    \b
    Example:
      heatherhatch completion bash > ~/.heatherhatch-completion
    """
    variable = "_HEATHERHATCH_COMPLETE"
    script = get_completion_class(shell)(main, {}, "heatherhatch", variable)
    click.echo(script.source())


for command in (
    pool,
    worker,
    team,
    key,
    operator,
    work_class,
    wave,
    plan,
    moves,
    job,
    status,
    audit,
    apply,
    diff,
    export,
):
    main.add_command(command)


if __name__ == "__main__":
    main(prog_name="heatherhatch")
