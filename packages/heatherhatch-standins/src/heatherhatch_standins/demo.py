"""Demo that runs the example deployments under load and faults and prints a report."""

import sys
import time
from pathlib import Path

import click
import gevent

from .deployment import Deployment, read_edit
from .processes import Trial
from .report import Report
from .scenario import Scenario

EXAMPLES = ("ciosg", "harcama")
EXAMPLES_FOLDER = Path("examples")
WORK_S = 0.1
SLOTS = 2


def run_example(trial: Trial, name: str, seed: int, report: Report) -> None:
    """Start one example deployment and run the scenario against it."""
    edit = read_edit(EXAMPLES_FOLDER / f"{name}.yaml")
    deployment = Deployment(trial, name, edit, work_s=WORK_S, slots=SLOTS)
    click.echo(f"{name}: starting {len(deployment.node_names)} nodes")
    deployment.start()
    Scenario(deployment, seed, report, click.echo).run()


@click.command()
@click.option("--seed", default=1, help="Random seed of the load.")
@click.option("--only", type=click.Choice(EXAMPLES), help="Run one deployment only.")
def main(seed: int, only: str | None) -> None:
    """Run the example deployments concurrently and print a report."""
    report = Report()
    started_s = time.monotonic()
    names = (only,) if only else EXAMPLES
    with Trial() as trial:
        runs = [
            gevent.spawn(run_example, trial, name, seed + i, report)
            for i, name in enumerate(names)
        ]
        gevent.joinall(runs, raise_error=True)
    report.show(click.echo)
    click.echo(f"{time.monotonic() - started_s:.1f} s in total")
    sys.exit(0 if report.holds else 1)


if __name__ == "__main__":
    main()
