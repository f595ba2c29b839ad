"""One YAML file for everything: apply, diff and export."""

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

APPLY_ATTEMPTS = 5
FILE = click.Path(path_type=Path, exists=True, dir_okay=False)


@click.command()
@click.argument("path", type=FILE)
@click.option("--prune", is_flag=True, help="Remove what the file does not name.")
@change_options
@click.pass_obj
def apply(context: Context, path: Path, prune: bool, options: ChangeOptions) -> None:
    """Make the configuration as a file says, in one change.

    Keys and the pools that workers are in now are not part of the file.

    \b
    Example:
      heatherhatch apply examples/ciosg.yaml --reason "first set-up" --wait
    """
    desired = _read(path)
    shown: list[str] | None = None
    for _ in range(APPLY_ATTEMPTS):
        config = context.configuration()
        edit = edit_towards(config, desired, prune)
        lines = describe_edit(config, edit)
        if shown is not None and lines != shown:
            raise HeatherhatchError(ErrorKind.CONFLICT, "others changed the same")
        if shown is None:
            _echo(lines)
        shown = lines
        if not lines:
            return
        try:
            context.change(edit, options, config.seq)
            return
        except HeatherhatchError as error:
            # Another change came between; it matters only if the diff differs.
            if error.kind is not ErrorKind.CONFLICT:
                raise
    raise HeatherhatchError(ErrorKind.CONFLICT, "other changes always came first")


@click.command()
@click.argument("path", type=FILE)
@click.option("--prune", is_flag=True, help="Remove what the file does not name.")
@click.pass_obj
def diff(context: Context, path: Path, prune: bool) -> None:
    """Show what apply would change."""
    config = context.configuration()
    _echo(describe_edit(config, edit_towards(config, _read(path), prune)))


@click.command()
@click.pass_obj
def export(context: Context) -> None:
    """Print the configuration in the form that apply reads.

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


def _echo(lines: list[str]) -> None:
    for line in lines or ["nothing to change"]:
        click.echo(line)
