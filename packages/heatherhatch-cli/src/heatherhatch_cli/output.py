"""Output of results as a table, JSON or YAML."""

from collections.abc import Sequence
from dataclasses import fields
from datetime import UTC, datetime

import click
import yaml

from heatherhatch_core.codec import encode_json, to_builtins

FORMATS = ("table", "json", "yaml")
COLUMN_GAP = "  "
LEFT_OUT = frozenset(["digest", "replaces", "seq", "since_s"])
FIRST_EPOCH_S = 1e9


def show(message: object, rows: Sequence[object], output: str) -> None:
    """Print a message.

    Args:
        message: The whole result, for JSON and YAML.
        rows: Frozen data classes of one kind, for the table.
        output: One of ``FORMATS``.
    """
    if output == "json":
        click.echo(encode_json(message))
    elif output == "yaml":
        click.echo(yaml.safe_dump(to_builtins(message), sort_keys=False), nl=False)
    else:
        _show_table(rows)


def time_text(seconds: float) -> str:
    """Return a moment as UTC text."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def brief(entity: object) -> str:
    """Return the facts of an entity in one line.

    Its name, digests, empty facts and positions in the log are left out.
    """
    facts = [
        f"{item.name}={_text(getattr(entity, item.name))}"
        for item in fields(entity)[1:]
        if item.name not in LEFT_OUT and getattr(entity, item.name) not in ("", ())
    ]
    return " ".join(facts)


def _show_table(rows):
    if not rows:
        click.echo("none")
        return
    names = [item.name for item in fields(rows[0])]
    lines = [[name.upper() for name in names]]
    lines += [[_text(getattr(row, name)) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        click.echo(COLUMN_GAP.join(cells).rstrip())


def _text(value):
    if isinstance(value, tuple):
        return ",".join(str(item) for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float) and value >= FIRST_EPOCH_S:
        return time_text(value)
    if isinstance(value, float):
        return f"{value:g}"
    return str(getattr(value, "value", value))
