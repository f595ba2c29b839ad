"""Code shared by the commands: options, client, output and change requests."""

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

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
EXIT_NOT_IN_FORCE = 10


@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options of every command that changes the configuration.

    Attributes:
        reason: Reason for the change, for the audit trail.
        dry_run: True to validate the change without applying it.
        wait: True to wait until the change is in force on all nodes.
    """

    reason: str
    dry_run: bool
    wait: bool


class Context:
    """Connection and output format of one invocation of the command line.

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
        """New client of the daemon.

        Raises:
            click.UsageError: If the address or the operator key is not set.
        """
        if not self.address:
            raise click.UsageError("give --address or set HEATHERHATCH_ADDRESS")
        if not self.token:
            raise click.UsageError("set HEATHERHATCH_TOKEN to an operator key")
        return Client(self.address, self.token)

    def configuration(self) -> Configuration:
        """Return the configuration that is known to the daemon."""
        return self.client.get("/v1/config", Configuration)

    def show(self, message: object, rows: Sequence[object]) -> None:
        """Print a result in the selected output format."""
        show(message, rows, self.output)

    def change(self, edit: Edit, options: ChangeOptions, base_seq: int = -1) -> int:
        """Send an edit, print its log position and wait if the options say so.

        Args:
            edit: Entities to put and to remove.
            options: Options of the command.
            base_seq: Position that the head of the log must have, -1 for any.

        Returns:
            The log position of the change, 0 for a dry run.
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
        """Wait until no node may act on a configuration older than a log position.

        Raises:
            SystemExit: With ``EXIT_NOT_IN_FORCE`` after ``WAIT_TIMEOUT_S`` seconds.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        shown_missing = None
        while True:
            state = self.client.get(f"/v1/in-force?seq={seq}", InForce)
            if not state.missing:
                click.echo(f"change {seq} is in force everywhere", err=True)
                return
            if state.missing != shown_missing:
                click.echo(f"waiting for {', '.join(state.missing)}", err=True)
                shown_missing = state.missing
            if time.monotonic() > deadline:
                raise SystemExit(EXIT_NOT_IN_FORCE)
            time.sleep(POLL_INTERVAL_S)


def change_options(command: Callable) -> Callable:
    """Add the change options to a command and pass them as ``options``."""

    @click.option("--reason", default="", help="Reason for the audit trail.")
    @click.option("--dry-run", is_flag=True, help="Validate without applying.")
    @click.option("--wait", is_flag=True, help="Wait until in force on all nodes.")
    @wraps(command)
    def wrapped(*args, reason, dry_run, wait, **kwargs):
        options = ChangeOptions(reason, dry_run, wait)
        return command(*args, options=options, **kwargs)

    return wrapped


def output_option(command: Callable) -> Callable:
    """Add ``--output`` to a command that prints a result."""

    @click.option("--output", type=click.Choice(FORMATS), help="Format of the result.")
    @wraps(command)
    def wrapped(context, *args, output, **kwargs):
        context.output = output or context.output
        return command(context, *args, **kwargs)

    return click.pass_obj(wrapped)


class ErrorGroup(click.Group):
    """Command group that exits with the exit code of the kind of an error."""

    def invoke(self, ctx):
        """Run a command and print an error on one line."""
        try:
            return super().invoke(ctx)
        except HeatherhatchError as error:
            click.echo(f"error {error.answer.code}: {error}", err=True)
            raise SystemExit(error.answer.exit_code) from error
