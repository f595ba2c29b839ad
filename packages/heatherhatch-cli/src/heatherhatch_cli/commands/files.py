"""Commands that apply, compare and export the configuration as a YAML file."""

from pathlib import Path

import click
import yaml

from heatherhatch_core.codec import from_builtins, to_builtins
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.desired import (
    Desired,
    describe_edit,
    desired_of,
    edit_towards,
)

from ..context import ChangeOptions, Context, change_options

MAX_APPLY_ATTEMPTS = 5
EXISTING_FILE = click.Path(path_type=Path, exists=True, dir_okay=False)


@click.command()
@click.argument("path", type=EXISTING_FILE)
@click.option("--prune", is_flag=True, help="Remove entities that are not in the file.")
@change_options
@click.pass_obj
def apply(context: Context, path: Path, prune: bool, options: ChangeOptions) -> None:
    """Change the configuration to match a file, in one change.

    The file contains neither keys nor the current pools of workers.

    \b
    Example:
      heatherhatch apply examples/ciosg.yaml --reason "first set-up" --wait
    """
    desired = _read(path)
    shown_lines: list[str] | None = None
    for _ in range(MAX_APPLY_ATTEMPTS):
        config = context.configuration()
        edit = edit_towards(config, desired, prune)
        lines = describe_edit(config, edit)
        if shown_lines is not None and lines != shown_lines:
            raise HeatherhatchError(
                ErrorKind.CONFLICT, "another change alters what would be applied"
            )
        if shown_lines is None:
            _print_lines(lines)
        shown_lines = lines
        if not lines:
            return
        try:
            context.change(edit, options, config.seq)
            return
        except HeatherhatchError as error:
            # Another change was accepted in the meantime. Retry, unless the next
            # iteration finds that it alters the diff.
            if error.kind is not ErrorKind.CONFLICT:
                raise
    raise HeatherhatchError(
        ErrorKind.CONFLICT, "every attempt conflicted with another change"
    )


@click.command()
@click.argument("path", type=EXISTING_FILE)
@click.option("--prune", is_flag=True, help="Remove entities that are not in the file.")
@click.pass_obj
def diff(context: Context, path: Path, prune: bool) -> None:
    """Show the changes that apply would make."""
    config = context.configuration()
    _print_lines(describe_edit(config, edit_towards(config, _read(path), prune)))


@click.command()
@click.pass_obj
def export(context: Context) -> None:
    """Print the configuration in the format that apply reads.

    \b
    Example:
      heatherhatch export > fleet.yaml
    """
    desired = desired_of(context.configuration())
    text = yaml.safe_dump(
        to_builtins(desired), sort_keys=False, default_flow_style=None, width=100
    )
    click.echo(text, nl=False)


def _read(path: Path) -> Desired:
    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (yaml.YAMLError, ValueError) as error:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, f"{path}: {error}") from error
    return from_builtins(data, Desired)


def _print_lines(lines: list[str]) -> None:
    for line in lines or ["nothing to change"]:
        click.echo(line)
