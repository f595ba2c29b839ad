"""What every command shares: options, the client, output and changes."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import wraps

import click

from heatherhatch_core.api import ChangeAnswer, ChangeRequest, InForce
from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.configuration import Configuration

from .client import Client, new_change_id
from .output import FORMATS, show

WAIT_S = 30.0
POLL_S = 0.2
EXIT_NOT_IN_FORCE = 10


@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options that every command that changes something has.

    Attributes:
        reason: Why, for the audit trail.
        dry_run: True to check only.
        wait: True to wait until the change is in force everywhere.
    """

    reason: str
    dry_run: bool
    wait: bool


class Context:
    """The client and the output of one run of the command line.

    Args:
        address: ``host:port`` of a daemon's operators' API.
        token: Operator key.
        output: One of ``FORMATS``.
    """

    def __init__(self, address: str, token: str, output: str):
        self.address = address
        self.token = token
        self.output = output

    @property
    def client(self) -> Client:
        """A client of the daemon.

        Raises:
            click.UsageError: If no address or key was given.
        """
        if not self.address:
            raise click.UsageError("give --address or set HEATHERHATCH_ADDRESS")
        if not self.token:
            raise click.UsageError("set HEATHERHATCH_TOKEN to an operator key")
        return Client(self.address, self.token)

    def configuration(self) -> Configuration:
        """Return the configuration that the daemon knows."""
        return self.client.get("/v1/config", Configuration)

    def show(self, message: object, rows: Sequence[object]) -> None:
        """Print a result in the chosen format."""
        show(message, rows, self.output)

    def change(self, edit: Edit, options: ChangeOptions, base_seq: int = -1) -> int:
        """Send an edit, print its position in the log and wait if asked to.

        Args:
            edit: What to change.
            options: Reason, dry run and wait.
            base_seq: Position that the log must still have, -1 for any.

        Returns:
            The position in the log, 0 for a dry run.
        """
        request = ChangeRequest(
            new_change_id(), edit, options.reason, options.dry_run, base_seq
        )
        answer = self.client.post("/v1/changes", request, ChangeAnswer)
        if options.dry_run:
            click.echo("the change is valid; nothing was changed", err=True)
            return 0
        click.echo(f"accepted as change {answer.seq}", err=True)
        if options.wait:
            self.wait_until_in_force(answer.seq)
        return answer.seq

    def wait_until_in_force(self, seq: int) -> None:
        """Wait until no node acts on an older configuration.

        Raises:
            SystemExit: With ``EXIT_NOT_IN_FORCE`` if that takes too long.
        """
        deadline = time.monotonic() + WAIT_S
        shown = None
        while True:
            state = self.client.get(f"/v1/in-force?seq={seq}", InForce)
            if not state.missing:
                click.echo(f"change {seq} is in force everywhere", err=True)
                return
            if state.missing != shown:
                click.echo(f"waiting for {', '.join(state.missing)}", err=True)
                shown = state.missing
            if time.monotonic() > deadline:
                raise SystemExit(EXIT_NOT_IN_FORCE)
            time.sleep(POLL_S)


def change_options(command: Callable) -> Callable:
    """Add the options of changes to a command and pass them as ``options``."""

    @click.option("--reason", default="", help="Why, for the audit trail.")
    @click.option("--dry-run", is_flag=True, help="Check only, change nothing.")
    @click.option("--wait", is_flag=True, help="Wait until in force everywhere.")
    @wraps(command)
    def wrapped(*args, reason, dry_run, wait, **kwargs):
        options = ChangeOptions(reason, dry_run, wait)
        return command(*args, options=options, **kwargs)

    return wrapped


def output_option(command: Callable) -> Callable:
    """Add ``--output`` to a command that shows something."""

    @click.option("--output", type=click.Choice(FORMATS), help="Format of the result.")
    @wraps(command)
    def wrapped(context, *args, output, **kwargs):
        context.output = output or context.output
        return command(context, *args, **kwargs)

    return click.pass_obj(wrapped)


class ErrorGroup(click.Group):
    """A group that ends with the exit code of an error's kind."""

    def invoke(self, ctx):
        """Run a command; print an error in one line."""
        try:
            return super().invoke(ctx)
        except HeatherhatchError as error:
            click.echo(f"error {error.answer.code}: {error}", err=True)
            raise SystemExit(error.answer.exit_code) from error
