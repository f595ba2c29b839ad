"""Fair share: closeness, lending, bursts, overload, and what a decision costs."""

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
FULL = CAPACITY / SERVICE_S
SETTLED_S = 3.0
SECONDS = 23.0
DECISIONS = 20_000
SEEDS = (1, 3)


def run() -> None:
    """Print the figures."""
    _closeness()
    _lender()
    _burst()
    _overload()
    _cost()


def _spread(turn: int) -> tuple[float, ...]:
    """Weights of the nodes, skewed to another node for each team."""
    weights = [2.0**-index for index in range(len(NODES))]
    return tuple(weights[(index + turn) % len(NODES)] for index in range(len(NODES)))


def _loads(factor: float) -> tuple[Load, ...]:
    rate = factor * FULL / len(SHARES)
    return tuple(
        Load(name, lambda _now: rate, _spread(turn)) for turn, name in enumerate(SHARES)
    )


def _closeness() -> None:
    fair = max_min(CAPACITY, dict.fromkeys(SHARES, 1e9), SHARES)
    tallies = []
    for seed in SEEDS:
        fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, seed=seed)
        tallies.append(fleet.run(_loads(4.0), SECONDS))
    long = max(_worst(tally, fair, 10.0) for tally in tallies)
    short = max(_worst(tally, fair, 1.0) for tally in tallies)
    report.at_most("fairness.off_10s", long, "of_share", 0.02)
    report.at_most("fairness.off_1s", short, "of_share", 0.10)
    total = sum(tallies[0].units(name, SETTLED_S, SECONDS) for name in SHARES)
    report.figure("fairness.pool_used", total / CAPACITY, "of_capacity")
    fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, alone=True)
    tally = fleet.run(_loads(4.0), SECONDS)
    long, short = _worst(tally, fair, 10.0), _worst(tally, fair, 1.0)
    report.figure("fairness.baseline.off_10s", long, "of_share")
    report.figure("fairness.baseline.off_1s", short, "of_share")


def _worst(tally: Tally, fair: dict[str, float], window_s: float) -> float:
    """Return the largest distance from a team's share in any window."""
    worst = 0.0
    begin = SETTLED_S
    while begin + window_s <= SECONDS:
        for name, part in fair.items():
            units = tally.units(name, begin, begin + window_s)
            worst = max(worst, abs(units - part) / part)
        begin += window_s / 2
    return worst


def _lender() -> None:
    """Team a lends its share for eight seconds, then asks for all of it."""
    fair = max_min(CAPACITY, dict.fromkeys(SHARES, 1e9), SHARES)["a"]
    back_s = 8.0
    rate = 4.0 * FULL / len(SHARES)
    for alone in (False, True):
        fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, alone)
        loads = list(_loads(4.0))
        loads[0] = Load("a", lambda now: rate if now >= back_s else 0.0, _spread(0))
        tally = fleet.run(tuple(loads), 14.0)
        after = float("inf")
        for step in range(500):
            begin = back_s + step * SAMPLE_S
            if tally.units("a", begin, begin + 0.2) >= 0.95 * fair:
                after = begin - back_s
                break
        if alone:
            report.figure("fairness.baseline.lender_back", after, "s")
        else:
            report.at_most("fairness.lender_back", after, "s", 2.0)


def _burst() -> None:
    """Every team asks five times its mean for three seconds."""

    def rate(now: float) -> float:
        busy = 6.0 <= now < 9.0 or 14.0 <= now < 17.0
        return (1.5 * FULL if busy else FULL / 20) / len(SHARES)

    for alone in (False, True):
        fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, alone)
        loads = tuple(
            Load(name, rate, _spread(turn)) for turn, name in enumerate(SHARES)
        )
        tally = fleet.run(loads, SECONDS)
        kept = tally.in_time / max(1, tally.in_time + tally.late)
        if alone:
            report.figure("fairness.baseline.burst_kept", kept, "of_admitted")
        else:
            report.at_least("fairness.burst_kept", kept, "of_admitted", 0.99)
            asked = tally.in_time + tally.late + tally.refused
            report.figure("fairness.burst_refused", tally.refused / asked, "of_asked")


def _overload() -> None:
    for alone in (False, True):
        useful = []
        for factor in (1.0, 2.0):
            fleet = VirtualFleet(TEAMS, CAPACITY, SERVICE_S, TARGET_S, alone)
            tally = fleet.run(_loads(factor), SECONDS)
            late = [at for at in tally.finished_s if at >= SETTLED_S]
            useful.append(len(late) / (SECONDS - SETTLED_S))
        ratio = useful[1] / useful[0]
        if alone:
            report.figure("fairness.baseline.useful_at_2x", ratio, "of_saturated")
        else:
            report.figure("fairness.saturated", useful[0] / FULL, "of_capacity")
            report.at_least("fairness.useful_at_2x", ratio, "of_saturated", 0.95)


def _cost() -> None:
    """Time of one request's decisions with fifty teams waiting."""
    queue = AdmissionQueue(lambda _team: 1_000)
    teams = [f"team-{index}" for index in range(50)]
    queue.set_division(POOL, 100, dict.fromkeys(teams, 2.0))
    running = []
    for number in range(1_000):
        ticket = AdmissionTicket(100.0, number, teams[number % 50], POOL, CLASS)
        running += queue.offer(ticket, 0.0).started
    begun = time.perf_counter()
    for number in range(DECISIONS):
        ticket = AdmissionTicket(100.0, 1_000 + number, teams[number % 50], POOL, CLASS)
        running += queue.offer(ticket, 0.0).started
        running += queue.release(running.pop(), 0.001, 0.0).started
    spent = (time.perf_counter() - begun) / DECISIONS
    report.at_most("fairness.decision", spent * 1e6, "us", 100.0)
