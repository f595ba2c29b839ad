"""The demo: a deployment under load and faults, and a report."""

import sys
import time
from pathlib import Path

import click

from .deployment import Deployment, read_edit
from .processes import Trial
from .report import Report
from .scenario import Scenario

EXAMPLES = ("ciosg", "harcama")
EXAMPLES_FOLDER = Path("examples")


@click.command()
@click.option("--seed", default=1, help="Seed of the load.")
def main(seed: int) -> None:
    """Run both example deployments and print a report."""
    report = Report()
    begun = time.monotonic()
    with Trial() as trial:
        for name in EXAMPLES:
            edit = read_edit(EXAMPLES_FOLDER / f"{name}.yaml")
            deployment = Deployment(trial, name, edit)
            click.echo(f"{name}: starting {len(deployment.node_names)} nodes")
            deployment.start()
            Scenario(deployment, seed, report, click.echo).run()
    report.show(click.echo)
    click.echo(f"{time.monotonic() - begun:.1f} s in all")
    sys.exit(0 if report.holds else 1)


if __name__ == "__main__":
    main()
