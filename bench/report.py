"""Prints measurements and, where one is missed, its target."""


def figure(name: str, value: float, unit: str) -> None:
    """Print a measurement that has no target."""
    print(f"{name} {value:.4g} {unit}")


def at_least(name: str, value: float, unit: str, target: float) -> None:
    """Print a measurement whose target is a minimum."""
    _print_with_target(name, value, unit, value >= target, f"at least {target:g}")


def at_most(name: str, value: float, unit: str, target: float) -> None:
    """Print a measurement whose target is a maximum."""
    _print_with_target(name, value, unit, value <= target, f"at most {target:g}")


def _print_with_target(name, value, unit, is_met, target):
    missed = "" if is_met else f" MISSED ({target})"
    print(f"{name} {value:.4g} {unit}{missed}")
