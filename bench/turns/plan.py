"""Reads the files that describe experiments: fleets, faults, variants and seeds."""

from dataclasses import replace
from pathlib import Path

import msgspec

from heatherhatch_core.coordination.pool_sizes import SizeRules
from heatherhatch_core.feature_gates import FeatureGates

from .experiment import EXPERIMENTS, Experiment, Fault
from .worth import Prices

MIN_SEEDS = 2  # one run has no interval


class PlanError(ValueError):
    """An experiment file that is not valid."""


class FleetPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet and its load, as changes to one of the built-in experiments.

    Attributes:
        base: Name of the built-in experiment.
        fields: Fields of `Experiment` to change.
        loads: Fields of each `QueueLoad` to change.
        prices: Fields of `Prices` to change.
        load_factor: Factor of the rate of jobs.
        faults: Disruptions, in addition to those of the whole file.
    """

    base: str
    fields: dict[str, float | int] = {}
    loads: dict[str, float | int] = {}
    prices: dict[str, float] = {}
    load_factor: float = 1.0
    faults: tuple[Fault, ...] = ()


class Variant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A policy to compare.

    Attributes:
        gates: Feature gates to change.
        sizes: Fields of `SizeRules` to change.
    """

    gates: dict[str, bool] = {}
    sizes: dict[str, float | int] = {}


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An experiment file.

    Attributes:
        variants: Policies by name; the first is the one to compare with.
        fleets: Fleets by name.
        seeds: Number of seeds to play.
        faults: Disruptions of all fleets.
    """

    variants: dict[str, Variant]
    fleets: dict[str, FleetPlan]
    seeds: int = 20
    faults: tuple[Fault, ...] = ()


def read_plan(path: Path) -> Plan:
    """Return the experiment that a YAML file describes.

    Raises:
        PlanError: If it is not valid; the text names the place.
    """
    try:
        plan = msgspec.yaml.decode(path.read_bytes(), type=Plan)
    except msgspec.DecodeError as error:
        raise PlanError(f'experiment "{path}": {error}') from error
    if plan.seeds < MIN_SEEDS:
        raise PlanError(f'experiment "{path}": "seeds" is below {MIN_SEEDS}')
    for kind, items in (("variants", plan.variants), ("fleets", plan.fleets)):
        if not items:
            raise PlanError(f'experiment "{path}": "{kind}" is empty')
    for name, fleet in plan.fleets.items():
        _check(path, f"fleets.{name}", build_fleet, plan, fleet, 1)
        _check(path, f"fleets.{name}.prices", build_prices, fleet)
    for name, variant in plan.variants.items():
        _check(path, f"variants.{name}", build_policy, variant)
    return plan


def _check(path: Path, place: str, build, *arguments) -> None:
    try:
        build(*arguments)
    except (TypeError, KeyError) as error:
        raise PlanError(f'experiment "{path}", at "{place}": {error}') from error


def build_fleet(plan: Plan, fleet: FleetPlan, seed: int) -> Experiment:
    """Return the experiment of one fleet and seed.

    Raises:
        KeyError: If there is no such built-in experiment.
        TypeError: If a field does not exist.
    """
    base = EXPERIMENTS[fleet.base]
    loads = tuple(
        replace(load, **{"per_s": load.per_s * fleet.load_factor, **fleet.loads})
        for load in base.loads
    )
    fields = {"faults": (*plan.faults, *fleet.faults), **fleet.fields}
    return replace(base, **{"loads": loads, "seed": seed, **fields})


def build_prices(fleet: FleetPlan) -> Prices:
    """Return the prices of a fleet.

    Raises:
        TypeError: If a price does not exist.
    """
    return replace(Prices(), **fleet.prices)


def build_policy(variant: Variant) -> tuple[SizeRules, FeatureGates]:
    """Return the rules and gates of a variant.

    Raises:
        TypeError: If a field does not exist.
    """
    gates = replace(FeatureGates(), **variant.gates)
    return replace(SizeRules(gates=gates), **variant.sizes), gates
