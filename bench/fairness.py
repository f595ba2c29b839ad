"""Measures fair sharing in virtual time.

It covers the error of the shares, the return of a lent share, bursts, overload and
the time of a decision.
"""

import time

from heatherhatch_core.coordination.admission_queue import (
    AdmissionQueue,
    AdmissionTicket,
)
from heatherhatch_core.coordination.fair_share import max_min
from heatherhatch_core.state.entities import Team

from . import report
from .virtual_fleet import CLASS, NODES, POOL, SAMPLE_S, Load, Tally, VirtualFleet

CAPACITY = 192
SERVICE_S = 0.1
TARGET_S = 1.0
SHARES = {"a": 3.0, "b": 3.0, "c": 2.0, "d": 2.0, "e": 1.0, "f": 1.0}
TEAMS = tuple(Team(name, share, 192) for name, share in SHARES.items())
FULL_RATE = CAPACITY / SERVICE_S
WARM_UP_S = 3.0
DURATION_S = 23.0
DECISIONS = 20_000
SEEDS = (1, 3)


def run() -> None:
    """Print the measurements."""
    _measure_share_error()
    _measure_lender()
    _measure_burst()
    _measure_overload()
    _measure_decision()


def _skewed_weights(offset: int) -> tuple[float, ...]:
    """Return weights of the nodes that favour a different node for each offset."""
    weights = [2.0**-index for index in range(len(NODES))]
    return tuple(weights[(index + offset) % len(NODES)] for index in range(len(NODES)))


def _loads(factor: float) -> tuple[Load, ...]:
    rate = factor * FULL_RATE / len(SHARES)
    return tuple(
        Load(name, lambda _now: rate, _skewed_weights(offset))
        for offset, name in enumerate(SHARES)
    )


def _measure_share_error() -> None:
    fair = max_min(CAPACITY, dict.fromkeys(SHARES, 1e9), SHARES)
    tallies = []
    for seed in SEEDS:
        fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, seed=seed)
        tallies.append(fleet.run(_loads(4.0), DURATION_S))
    long = max(_largest_share_error(tally, fair, 10.0) for tally in tallies)
    short = max(_largest_share_error(tally, fair, 1.0) for tally in tallies)
    report.at_most("fairness.off_10s", long, "of_share", 0.02)
    report.at_most("fairness.off_1s", short, "of_share", 0.10)
    total = sum(tallies[0].units(name, WARM_UP_S, DURATION_S) for name in SHARES)
    report.figure("fairness.pool_used", total / CAPACITY, "of_capacity")
    fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, baseline=True)
    tally = fleet.run(_loads(4.0), DURATION_S)
    long, short = (
        _largest_share_error(tally, fair, 10.0),
        _largest_share_error(tally, fair, 1.0),
    )
    report.figure("fairness.baseline.off_10s", long, "of_share")
    report.figure("fairness.baseline.off_1s", short, "of_share")


def _largest_share_error(
    tally: Tally, fair: dict[str, float], window_s: float
) -> float:
    """Return the largest relative error of a team's share in any window."""
    worst = 0.0
    begin = WARM_UP_S
    while begin + window_s <= DURATION_S:
        for name, fair_units in fair.items():
            units = tally.units(name, begin, begin + window_s)
            worst = max(worst, abs(units - fair_units) / fair_units)
        begin += window_s / 2
    return worst


def _measure_lender() -> None:
    """Measure how fast team a, idle for eight seconds, gets its whole share back."""
    fair = max_min(CAPACITY, dict.fromkeys(SHARES, 1e9), SHARES)["a"]
    resumed_s = 8.0
    rate = 4.0 * FULL_RATE / len(SHARES)
    for baseline in (False, True):
        fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, baseline)
        loads = list(_loads(4.0))
        loads[0] = Load(
            "a", lambda now: rate if now >= resumed_s else 0.0, _skewed_weights(0)
        )
        tally = fleet.run(tuple(loads), 14.0)
        after = float("inf")
        for step in range(500):
            begin = resumed_s + step * SAMPLE_S
            if tally.units("a", begin, begin + 0.2) >= 0.95 * fair:
                after = begin - resumed_s
                break
        if baseline:
            report.figure("fairness.baseline.lender_back", after, "s")
        else:
            report.at_most("fairness.lender_back", after, "s", 2.0)


def _measure_burst() -> None:
    """Measure the effect of bursts in which each team sends at five times its mean."""

    def rate(now: float) -> float:
        in_burst = 6.0 <= now < 9.0 or 14.0 <= now < 17.0
        return (1.5 * FULL_RATE if in_burst else FULL_RATE / 20) / len(SHARES)

    for baseline in (False, True):
        fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, baseline)
        loads = tuple(
            Load(name, rate, _skewed_weights(offset))
            for offset, name in enumerate(SHARES)
        )
        tally = fleet.run(loads, DURATION_S)
        kept = tally.in_time / max(1, tally.in_time + tally.late)
        if baseline:
            report.figure("fairness.baseline.burst_kept", kept, "of_admitted")
        else:
            report.at_least("fairness.burst_kept", kept, "of_admitted", 0.99)
            asked = tally.in_time + tally.late + tally.refused
            report.figure("fairness.burst_refused", tally.refused / asked, "of_asked")


def _measure_overload() -> None:
    for baseline in (False, True):
        useful = []
        for factor in (1.0, 2.0):
            fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, baseline)
            tally = fleet.run(_loads(factor), DURATION_S)
            counted = [at for at in tally.finished_s if at >= WARM_UP_S]
            useful.append(len(counted) / (DURATION_S - WARM_UP_S))
        ratio = useful[1] / useful[0]
        if baseline:
            report.figure("fairness.baseline.useful_at_2x", ratio, "of_saturated")
        else:
            report.figure("fairness.saturated", useful[0] / FULL_RATE, "of_capacity")
            report.at_least("fairness.useful_at_2x", ratio, "of_saturated", 0.95)


def _measure_decision() -> None:
    """Measure the time to decide on one request while fifty teams are waiting."""
    queue = AdmissionQueue(lambda _team: 1_000)
    teams = [f"team-{index}" for index in range(50)]
    queue.set_division(POOL, 100, dict.fromkeys(teams, 2.0))
    running = []
    for number in range(1_000):
        ticket = AdmissionTicket(100.0, number, teams[number % 50], POOL, CLASS)
        running += queue.offer(ticket, 0.0).started
    started_s = time.perf_counter()
    for number in range(DECISIONS):
        ticket = AdmissionTicket(100.0, 1_000 + number, teams[number % 50], POOL, CLASS)
        running += queue.offer(ticket, 0.0).started
        running += queue.release(running.pop(), 0.001, 0.0).started
    mean_s = (time.perf_counter() - started_s) / DECISIONS
    report.at_most("fairness.decision", mean_s * 1e6, "us", 100.0)
