"""Upper bound of the worth of a recorded day, by a linear program.

The program knows the whole day. It may split machines and tasks, place work without
regard to fragments, and run the steps of a job as early or late as their lengths allow.
All of this makes it only better off, so that no policy can be worth more.
"""

from collections import defaultdict
from dataclasses import dataclass

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

from .recorded_day import RecordedDay, RecordedJob

SLOT_S = 0.25  # a move takes several slots, the shortest steps two
EPSILON_S = 1e-9


class NoSolutionError(RuntimeError):
    """The solver found no solution."""


@dataclass(frozen=True, slots=True)
class Bound:
    """The best that a day can be worth.

    Attributes:
        worth: Share earned, less the prices, as shares of what is owed.
        earned: Share of the credit that is earned.
        machine_s: Time of machines in pools, seconds.
        moves: Number of moves.
    """

    worth: float
    earned: float
    machine_s: float
    moves: float


class _Program:
    """Collects the columns and rows of a linear program that minimizes a cost."""

    def __init__(self):
        self.costs: list[float] = []
        self.upper: list[float | None] = []
        self.entries: tuple[list, list, list] = ([], [], [])
        self.limits: list[float] = []
        self.equal_entries: tuple[list, list, list] = ([], [], [])
        self.equal_limits: list[float] = []

    def add_column(self, cost: float, upper: float | None = None) -> int:
        """Return a new variable that is not negative."""
        self.costs.append(cost)
        self.upper.append(upper)
        return len(self.costs) - 1

    def add_row(self, terms: dict[int, float], limit: float) -> None:
        """Require that a sum of variables is at most a limit."""
        _append(self.entries, len(self.limits), terms)
        self.limits.append(limit)

    def add_equation(self, terms: dict[int, float], value: float) -> None:
        """Require that a sum of variables has a value."""
        _append(self.equal_entries, len(self.equal_limits), terms)
        self.equal_limits.append(value)

    def solve(self) -> np.ndarray:
        """Return the values of the variables.

        Raises:
            NoSolutionError: If there is none.
        """
        found = linprog(
            self.costs,
            _matrix(self.entries, len(self.limits), len(self.costs)),
            self.limits,
            _matrix(self.equal_entries, len(self.equal_limits), len(self.costs)),
            self.equal_limits,
            [(0, upper) for upper in self.upper],
            method="highs",
        )
        if found.x is None:
            raise NoSolutionError(found.message)
        return found.x


def _append(entries: tuple[list, list, list], row: int, terms: dict[int, float]):
    rows, columns, values = entries
    for column, value in terms.items():
        rows.append(row)
        columns.append(column)
        values.append(value)


def _matrix(entries: tuple[list, list, list], rows: int, columns: int):
    if not rows:
        return None
    row, column, values = entries
    return coo_matrix((values, (row, column)), shape=(rows, columns)).tocsr()


def find_bound(day: RecordedDay, slot_s: float = SLOT_S) -> Bound:
    """Return the upper bound of a day.

    Args:
        day: Arrivals, fleet and prices.
        slot_s: Time step of the program, seconds.

    Raises:
        NoSolutionError: If the solver finds no solution.
    """
    slots = round(day.length_s / slot_s)
    program = _Program()
    served = {}
    loads: dict[tuple[str, int], dict[int, float]] = defaultdict(dict)
    for job in day.jobs:
        served[job] = _add_job(program, job, day, slots, slot_s, loads)
    sizes, additions, moves = _add_machines(program, day, slots, slot_s)
    for pool in day.pools:
        for slot in range(slots):
            terms = dict(loads[pool.name, slot])
            terms[sizes[pool.name][slot]] = -day.machine_cores * slot_s
            program.add_row(terms, -pool.lasting_cores * slot_s)
    values = program.solve()
    owed = sum(job.credit for job in day.jobs)
    earned = sum(values[column] * job.credit for job, column in served.items())
    held = sum(values[column] for columns in sizes.values() for column in columns)
    coming = sum(values[column] for columns in additions.values() for column in columns)
    machine_s = held * slot_s + coming * day.move_s
    moved = sum(values[column] for column in moves)
    cost = day.prices.machine_s * machine_s + day.prices.move * moved
    return Bound((earned - cost) / owed, earned / owed, machine_s, moved)


def _add_job(
    program: _Program,
    job: RecordedJob,
    day: RecordedDay,
    slots: int,
    slot_s: float,
    loads: dict[tuple[str, int], dict[int, float]],
) -> int:
    """Add a job; return the variable that says which part of it is on time."""
    served = program.add_column(-job.credit, 1.0)
    begin_s = day.accepted_s(job.at_s)
    total_s = sum(step.length_s for step in job.steps)
    if begin_s + total_s > job.due_s + EPSILON_S:
        program.add_row({served: 1.0}, 0.0)
        return served
    before_s = 0.0
    for step in job.steps:
        first_s = begin_s + before_s
        last_s = job.due_s - (total_s - before_s - step.length_s)
        before_s += step.length_s
        terms = {served: step.cores * step.length_s}
        for slot in range(slots):
            overlap_s = min(last_s, (slot + 1) * slot_s) - max(first_s, slot * slot_s)
            if overlap_s > EPSILON_S:
                column = program.add_column(0.0, step.cores * overlap_s)
                terms[column] = -1.0
                loads[job.pool, slot][column] = 1.0
        program.add_row(terms, 0.0)
    return served


def _add_machines(
    program: _Program, day: RecordedDay, slots: int, slot_s: float
) -> tuple[dict[str, list[int]], dict[str, list[int]], list[int]]:
    """Add the machines of each pool; return their variables, additions and moves."""
    delay = round(day.move_s / slot_s)
    price = day.prices.machine_s
    sizes, additions, releases = {}, {}, {}
    for pool in day.pools:
        name = pool.name
        sizes[name] = [program.add_column(price * slot_s) for _ in range(slots)]
        additions[name] = [program.add_column(price * day.move_s) for _ in range(slots)]
        releases[name] = [program.add_column(0.0) for _ in range(slots)]
        for slot in range(slots):
            terms = {sizes[name][slot]: 1.0, releases[name][slot]: 1.0}
            if slot:
                terms[sizes[name][slot - 1]] = -1.0
            if slot >= delay:
                terms[additions[name][slot - delay]] = -1.0
            program.add_equation(terms, 0.0 if slot else float(pool.machines))
            program.add_row({sizes[name][slot]: -1.0}, -float(pool.min_machines))
    moves = []
    for slot in range(slots):
        # A machine that leaves a pool and joins another one moves once.
        move = program.add_column(day.prices.move)
        moves.append(move)
        for changes in (additions, releases):
            terms = {columns[slot]: 1.0 for columns in changes.values()}
            program.add_row({**terms, move: -1.0}, 0.0)
        terms = {columns[slot]: 1.0 for columns in sizes.values()}
        for columns in additions.values():
            for earlier in range(max(0, slot - delay + 1), slot + 1):
                terms[columns[earlier]] = 1.0
        program.add_row(terms, float(day.machines))
    return sizes, additions, moves
