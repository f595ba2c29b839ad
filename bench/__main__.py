"""Prints all measurements as lines of name, value and unit."""

from . import (
    backend_choice,
    control,
    fairness,
    faults,
    fleet,
    idle,
    jobs,
    limits,
    log,
    requests,
    withdrawal,
)

AREAS = (
    limits,
    idle,
    log,
    withdrawal,
    fairness,
    requests,
    backend_choice,
    control,
    faults,
    fleet,
    jobs,
)


def main() -> None:
    """Run the measurements of every area."""
    for area in AREAS:
        area.run()


if __name__ == "__main__":
    main()
