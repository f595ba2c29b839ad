"""How a measurement is printed, beside its target."""


def figure(name: str, value: float, unit: str) -> None:
    """Print a figure without a target."""
    print(f"{name} {value:.4g} {unit}")


def at_least(name: str, value: float, unit: str, target: float) -> None:
    """Print a figure that should not be below its target."""
    _judge(name, value, unit, value >= target, f"at least {target:g}")


def at_most(name: str, value: float, unit: str, target: float) -> None:
    """Print a figure that should not be above its target."""
    _judge(name, value, unit, value <= target, f"at most {target:g}")


def _judge(name, value, unit, kept, target):
    missed = "" if kept else f" MISSED ({target})"
    print(f"{name} {value:.4g} {unit}{missed}")
