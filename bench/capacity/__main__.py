"""Measures every slope, prints it and writes docs/CAPACITY.md."""

from .decisions import decision_slopes
from .libraries import ALL_LIBRARIES, LISTENER, imported_mib
from .nodes import node_slopes
from .page import write_page


def main() -> None:
    """Run all measurements and write the page."""
    slopes = (*decision_slopes(), *node_slopes())
    for slope in slopes:
        name = f"{slope.name} over {slope.axis}".replace(" ", "-")
        print(f"capacity.{name} {slope.at_target:.3f} {slope.unit}")
        print(f"capacity.{name}.residual {100 * slope.residual:.1f} %")
    memory = {
        "libraries": imported_mib(ALL_LIBRARIES),
        "listener": imported_mib(LISTENER),
    }
    for name, value in memory.items():
        print(f"capacity.imported.{name} {value:.1f} MiB")
    write_page(slopes, {name: f"{value:.0f} MiB" for name, value in memory.items()})


if __name__ == "__main__":
    main()
