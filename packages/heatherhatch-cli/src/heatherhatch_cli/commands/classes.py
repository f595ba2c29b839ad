"""Commands for classes of work and their targets."""

import click

from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import WorkClass, WorkKind

from ..context import ChangeOptions, Context, change_options, output_option


@click.group("class")
def work_class() -> None:
    """Classes of work and their targets."""


@work_class.command("set")
@click.argument("name")
@click.option("--pool", required=True, help="Pool that serves the class.")
@click.option(
    "--kind",
    type=click.Choice([item.value for item in WorkKind]),
    default=WorkKind.REQUEST.value,
    show_default=True,
)
@click.option(
    "--target-s",
    type=float,
    required=True,
    help="Seconds in which a request is answered or a job finishes.",
)
@click.option(
    "--on-time-share",
    type=float,
    default=0.99,
    show_default=True,
    help="Fraction of the work that must meet the target.",
)
@click.option(
    "--idempotent", is_flag=True, help="The work may be executed more than once."
)
@click.option("--open", is_flag=True, help="Work is accepted without a team's key.")
@change_options
@click.pass_obj
def set_class(
    context: Context, name: str, kind: str, options: ChangeOptions, **attributes
) -> None:
    """Create or replace a class of work.

    \b
    Example:
      heatherhatch class set settle --pool bala --target-s 2 --on-time-share 0.999
    """
    entry = WorkClass(name=name, kind=WorkKind(kind), **attributes)
    context.change(Edit(classes=(entry,)), options)


@work_class.command("remove")
@click.argument("name")
@change_options
@click.pass_obj
def remove_class(context: Context, name: str, options: ChangeOptions) -> None:
    """Remove a class of work."""
    context.change(Edit(removals=(Removal("class", name),)), options)


@work_class.command("list")
@output_option
def list_classes(context: Context) -> None:
    """List the classes of work."""
    config = context.configuration()
    rows = [config.classes[name] for name in sorted(config.classes)]
    context.show(rows, rows)
