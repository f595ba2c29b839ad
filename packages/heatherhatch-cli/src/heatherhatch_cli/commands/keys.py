"""Commands for the keys of teams and operators.

A key is generated here and only its digest is sent. The daemon therefore receives
a secret only when it has to verify it, and the change can safely be sent again.
"""

from dataclasses import dataclass

import click

from heatherhatch_core.keys import NewKey, new_key
from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import OperatorKey, Role, TeamKey

from ..context import ChangeOptions, Context, change_options, output_option


@dataclass(frozen=True, slots=True)
class KeyRow:
    """One line of the list of team keys."""

    key_id: str
    team: str


@dataclass(frozen=True, slots=True)
class OperatorRow:
    """One line of the list of operator keys."""

    key_id: str
    operator: str
    role: Role


@dataclass(frozen=True, slots=True)
class TokenRow:
    """A new key with its token, which is shown only once."""

    key_id: str
    token: str


@click.group()
def key() -> None:
    """Keys of teams."""


@key.command("grant")
@click.argument("team")
@output_option
@change_options
def grant(context: Context, team: str, options: ChangeOptions) -> None:
    """Create a key for a team; its token is shown only once.

    \b
    Example:
      heatherhatch key grant siop-bala --reason "new till" --wait
    """
    generated = new_key(team)
    edit = Edit(team_keys=(TeamKey(generated.key_id, team, generated.digest),))
    _grant_key(context, generated, edit, options)


@key.command("withdraw")
@click.argument("key_id")
@change_options
@click.pass_obj
def withdraw(context: Context, key_id: str, options: ChangeOptions) -> None:
    """Withdraw a key of a team.

    \b
    Example:
      heatherhatch key withdraw siop-bala-0a1b2c3d4e5f --wait
    """
    context.change(Edit(removals=(Removal("team-key", key_id),)), options)


@key.command("list")
@click.option("--team", default="", help="Only this team.")
@output_option
def list_keys(context: Context, team: str) -> None:
    """List the keys of teams; their secrets are not stored."""
    keys = context.configuration().team_keys.values()
    rows = [KeyRow(item.key_id, item.team) for item in keys if team in ("", item.team)]
    rows.sort(key=lambda row: (row.team, row.key_id))
    context.show(rows, rows)


@click.group()
def operator() -> None:
    """Keys of operators."""


@operator.command("grant")
@click.argument("name")
@click.option(
    "--role",
    type=click.Choice([item.value for item in Role]),
    default=Role.VIEWER.value,
    show_default=True,
)
@output_option
@change_options
def grant_operator(
    context: Context, name: str, role: str, options: ChangeOptions
) -> None:
    """Create a key for an operator; its token is shown only once."""
    generated = new_key(f"op-{name}")
    entry = OperatorKey(generated.key_id, name, Role(role), generated.digest)
    _grant_key(context, generated, Edit(operator_keys=(entry,)), options)


@operator.command("withdraw")
@click.argument("key_id")
@change_options
@click.pass_obj
def withdraw_operator(context: Context, key_id: str, options: ChangeOptions) -> None:
    """Withdraw a key of an operator."""
    context.change(Edit(removals=(Removal("operator-key", key_id),)), options)


@operator.command("list")
@output_option
def list_operators(context: Context) -> None:
    """List the keys of operators."""
    keys = context.configuration().operator_keys.values()
    rows = [OperatorRow(item.key_id, item.operator, item.role) for item in keys]
    context.show(rows, rows)


def _grant_key(
    context: Context, generated: NewKey, edit: Edit, options: ChangeOptions
) -> None:
    context.change(edit, options)
    if not options.dry_run:
        row = TokenRow(generated.key_id, generated.token)
        context.show(row, (row,))
