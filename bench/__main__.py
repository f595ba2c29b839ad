"""Prints measurements as lines of name, value and unit."""

from . import (
    backend_choice,
    control,
    fairness,
    faults,
    fleet,
    jobs,
    limits,
    requests,
)

AREAS = (limits, control, fairness, requests, backend_choice, faults, fleet, jobs)


def main() -> None:
    """Run every measurement."""
    for area in AREAS:
        area.run()


if __name__ == "__main__":
    main()
