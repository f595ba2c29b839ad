"""Plays an experiment file: python -m bench.turns.experiment_cli FILE."""

import os
import sys
from pathlib import Path

import click

from .plan import PlanError, read_plan
from .plots import plot_day
from .runner import list_days, play_all
from .summary import format_row, markdown_table, summarize


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--processes",
    type=click.IntRange(1),
    default=max(1, (os.cpu_count() or 2) // 2),
    help="Days to play at the same time.",
)
@click.option(
    "--plots",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for a plot of the first seed of each fleet and variant.",
)
@click.option(
    "--table",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File to write the results to, as a table in Markdown.",
)
def main(file: Path, processes: int, plots: Path | None, table: Path | None) -> None:
    """Compare the variants of an experiment in virtual time.

    A star marks differences to the first variant that are significant at 95 %.
    """
    try:
        plan = read_plan(file)
    except PlanError as error:
        raise click.ClickException(str(error)) from error
    results = []
    days = len(list_days(plan))
    with click.progressbar(
        play_all(plan, processes), length=days, label="days", file=sys.stderr
    ) as bar:
        results.extend(bar)
    rows = summarize(results)
    for row in rows:
        click.echo(format_row(row))
    if table is not None:
        table.write_text(markdown_table(rows))
    if plots is not None:
        plots.mkdir(parents=True, exist_ok=True)
        for result in results:
            if result.day.seed == 1:
                click.echo(f"wrote {plot_day(result, plots)}")


if __name__ == "__main__":
    main()
