"""Commands for maintenance waves that the provider has announced."""

from dataclasses import dataclass
from datetime import UTC, datetime

import click

from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import Wave

from ..context import ChangeOptions, Context, change_options, output_option
from ..output import format_time


@dataclass(frozen=True, slots=True)
class WaveRow:
    """One line of the list of waves."""

    wave_id: str
    start: str
    end: str
    workers: int


class IsoTime(click.ParamType):
    """Time in ISO 8601, in UTC if it has no offset."""

    name = "time"

    def convert(self, value, param, ctx):
        """Return the parsed time, seconds since the epoch."""
        try:
            parsed = datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"{value!r} is not a time such as 2027-01-31T22:00", param, ctx)
        if parsed.tzinfo is None:
            parsed = parsed.replace(tzinfo=UTC)
        return parsed.timestamp()


@click.group()
def wave() -> None:
    """Maintenance waves; the provider sets their dates."""


@wave.command("announce")
@click.argument("wave_id")
@click.option("--start", type=IsoTime(), required=True)
@click.option("--end", type=IsoTime(), required=True)
@click.option(
    "--worker", "workers", multiple=True, help="Worker in the wave; may be repeated."
)
@click.option("--failure-domain", default="", help="All workers of a failure domain.")
@click.option("--rack", default="", help="All workers of a rack.")
@change_options
@click.pass_obj
def announce(
    context: Context,
    wave_id: str,
    start: float,
    end: float,
    workers: tuple[str, ...],
    failure_domain: str,
    rack: str,
    options: ChangeOptions,
) -> None:
    """Announce a wave for workers, a rack or a failure domain.

    \b
    Example:
      heatherhatch wave announce feb-1 --start 2027-02-01T22:00 \\
          --end 2027-02-02T02:00 --failure-domain dc-1 --wait
    """
    selected = set(workers)
    for name, entry in context.configuration().workers.items():
        if failure_domain and entry.failure_domain == failure_domain:
            selected.add(name)
        if rack and entry.rack == rack:
            selected.add(name)
    if not selected:
        raise click.UsageError("the wave contains no worker")
    entry = Wave(wave_id, start, end, tuple(sorted(selected)))
    context.change(Edit(waves=(entry,)), options)


@wave.command("remove")
@click.argument("wave_id")
@change_options
@click.pass_obj
def remove_wave(context: Context, wave_id: str, options: ChangeOptions) -> None:
    """Remove a wave that the provider has cancelled."""
    context.change(Edit(removals=(Removal("wave", wave_id),)), options)


@wave.command("list")
@output_option
def list_waves(context: Context) -> None:
    """List the waves in the order of their start."""
    waves = sorted(context.configuration().waves.values(), key=lambda w: w.start_s)
    rows = [
        WaveRow(
            item.wave_id,
            format_time(item.start_s),
            format_time(item.end_s),
            len(item.workers),
        )
        for item in waves
    ]
    context.show(waves, rows)
