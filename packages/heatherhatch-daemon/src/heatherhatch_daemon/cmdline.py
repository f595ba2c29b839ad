"""Command line of the daemon."""

import signal
import sys
from pathlib import Path

import click
import gevent

from heatherhatch_core.exceptions import SettingsError

from .control import Daemon
from .events import open_log
from .settings_file import read_settings

EXIT_INVALID_SETTINGS = 2
EXIT_REQUESTS_ABORTED = 1


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="YAML file with the settings.",
)
@click.option(
    "--check-settings", is_flag=True, help="Check the settings file and exit."
)
def main(path: Path, check_settings: bool) -> None:
    """Run one entry instance of heatherhatch."""
    try:
        settings = read_settings(path)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(f"{path}: {problem}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check_settings:
        click.echo(f"{path}: no errors")
        return
    open_log(settings.log_file)
    daemon = Daemon(settings)
    gevent.signal_handler(signal.SIGTERM, daemon.request_stop)
    gevent.signal_handler(signal.SIGINT, daemon.request_stop)
    daemon.start()
    if not daemon.wait():
        sys.exit(EXIT_REQUESTS_ABORTED)


if __name__ == "__main__":
    main()
