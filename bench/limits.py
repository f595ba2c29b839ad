"""Limits: never above, and used to the full wherever callers come."""

from heatherhatch_core.state.entities import Team

from . import report
from .virtual_fleet import NODES, SAMPLE_S, Load, Tally, VirtualFleet

LIMIT = 70
CAPACITY = 400
SERVICE_S = 0.1
TARGET_S = 2.0
SECONDS = 12.0
TEAM = "red"
ONE_NODE = (0.0, 0.0, 1.0, 0.0, 0.0, 0.0, 0.0)
SKEWED = (16.0, 8.0, 4.0, 2.0, 1.0, 1.0, 0.0)
OVERLOAD = 3.0


def run() -> None:
    """Print the figures."""
    for name, spread in (("one_node", ONE_NODE), ("skewed", SKEWED)):
        shared = _ask(spread, alone=False)
        used = shared.units(TEAM, 2.0, SECONDS) / LIMIT
        report.at_least(f"limits.{name}.used", used, "of_limit", 0.95)
        report.at_most(f"limits.{name}.whole_after", _reached_s(shared), "s", 2.0)
        report.at_most(f"limits.{name}.over", _samples_over(shared), "samples", 0)
        alone = _ask(spread, alone=True)
        used = alone.units(TEAM, 2.0, SECONDS) / LIMIT
        report.figure(f"limits.{name}.baseline.used", used, "of_limit")
    _moving_callers()


def _ask(spread: tuple[float, ...], alone: bool) -> Tally:
    fleet = VirtualFleet(
        (Team(TEAM, 1.0, LIMIT),), CAPACITY, SERVICE_S, TARGET_S, alone
    )
    rate = OVERLOAD * LIMIT / SERVICE_S
    return fleet.run((Load(TEAM, lambda _now: rate, spread),), SECONDS)


def _moving_callers() -> None:
    """All callers move to the next node every four seconds."""
    fleet = VirtualFleet((Team(TEAM, 1.0, LIMIT),), CAPACITY, SERVICE_S, TARGET_S)
    rate = OVERLOAD * LIMIT / SERVICE_S
    loads = tuple(
        Load(
            TEAM,
            lambda now, index=index: rate if int(now / 4) % 3 == index else 0.0,
            tuple(float(node == index) for node in range(len(NODES))),
        )
        for index in range(3)
    )
    tally = fleet.run(loads, 3 * SECONDS)
    used = tally.units(TEAM, 2.0, 3 * SECONDS) / LIMIT
    report.figure("limits.moving.used", used, "of_limit")
    report.at_most("limits.moving.over", _samples_over(tally), "samples", 0)
    calls = fleet.store.calls / (3 * SECONDS) / len(NODES)
    report.figure("limits.moving.store_calls", calls, "per_s_per_node")


def _reached_s(tally: Tally) -> float:
    for index, sample in enumerate(tally.samples):
        if sample[TEAM] >= 0.95 * LIMIT:
            return index * SAMPLE_S
    return float("inf")


def _samples_over(tally: Tally) -> int:
    return sum(sample[TEAM] > LIMIT for sample in tally.samples)
