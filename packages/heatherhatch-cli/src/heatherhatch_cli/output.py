"""Output of results as a table, JSON or YAML."""

from collections.abc import Sequence
from dataclasses import fields
from datetime import UTC, datetime

import click
import yaml

from heatherhatch_core.codec import encode_json, to_builtins

FORMATS = ("table", "json", "yaml")
COLUMN_GAP = "  "
OMITTED_FIELDS = frozenset(["digest", "replaces", "seq", "since_s"])
MIN_TIMESTAMP_S = 1e9  # floats from this value on are printed as timestamps


def show(message: object, rows: Sequence[object], output: str) -> None:
    """Print a result.

    Args:
        message: Complete result, for JSON and YAML.
        rows: Rows of the table, all instances of the same frozen data class.
        output: One of ``FORMATS``.
    """
    if output == "json":
        click.echo(encode_json(message))
    elif output == "yaml":
        click.echo(yaml.safe_dump(to_builtins(message), sort_keys=False), nl=False)
    else:
        _show_table(rows)


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as text in UTC."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_entity(entity: object) -> str:
    """Return the attributes of an entity on one line.

    The name, empty attributes and the ``OMITTED_FIELDS`` (digests, log positions and
    times of transition) are omitted.
    """
    attributes = [
        f"{item.name}={_format_value(getattr(entity, item.name))}"
        for item in fields(entity)[1:]
        if item.name not in OMITTED_FIELDS
        and getattr(entity, item.name) not in ("", ())
    ]
    return " ".join(attributes)


def _show_table(rows):
    if not rows:
        click.echo("none")
        return
    names = [item.name for item in fields(rows[0])]
    lines = [[name.upper() for name in names]]
    lines += [[_format_value(getattr(row, name)) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        click.echo(COLUMN_GAP.join(cells).rstrip())


def _format_value(value):
    if isinstance(value, tuple):
        return ",".join(str(item) for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float) and value >= MIN_TIMESTAMP_S:
        return format_time(value)
    if isinstance(value, float):
        return f"{value:g}"
    return str(getattr(value, "value", value))
