"""Plays the days of an experiment file in parallel processes."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from heatherhatch_core.coordination.pool_sizes import PoolSizer

from .plan import Plan, build_fleet, build_policy, build_prices
from .samples import PoolSample
from .world import World
from .worth import Worth, measure_worth


@dataclass(frozen=True, slots=True)
class Day:
    """One simulated day.

    Attributes:
        fleet: Name of the fleet.
        variant: Name of the variant.
        seed: Seed of the load.
    """

    fleet: str
    variant: str
    seed: int


@dataclass(frozen=True, slots=True)
class DayResult:
    """Result of one day.

    Attributes:
        day: The day.
        worth: What it was worth.
        samples: State of the pools, once a second.
    """

    day: Day
    worth: Worth
    samples: tuple[tuple[float, dict[str, PoolSample]], ...]


def list_days(plan: Plan) -> list[Day]:
    """Return the days of an experiment."""
    return [
        Day(fleet, variant, seed)
        for seed in range(1, plan.seeds + 1)
        for fleet in plan.fleets
        for variant in plan.variants
    ]


def play_day(plan: Plan, day: Day) -> DayResult:
    """Simulate one day; the same day always has the same result."""
    fleet = plan.fleets[day.fleet]
    rules, gates = build_policy(plan.variants[day.variant])
    world = World(build_fleet(plan, fleet, day.seed), PoolSizer(rules), gates=gates)
    world.run()
    worth = measure_worth(world, build_prices(fleet))
    return DayResult(day, worth, tuple(world.samples))


def play_all(plan: Plan, processes: int) -> Iterator[DayResult]:
    """Yield the results of all days, in the order of `list_days`."""
    days = list_days(plan)
    with ProcessPoolExecutor(processes) as executor:
        yield from executor.map(play_day, [plan] * len(days), days)
