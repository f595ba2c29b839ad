"""Tasks that fill give way to tasks that serve; no network, no bench.

The pattern: a serving task's response tail rises when what fills beside it works
at its full share, by an amount that differs by image and changes within seconds.
"""

import pytest

from heatherhatch_core.coordination.scheduler import PaceOrder
from pool_model import PoolModel, job_of, step_of

TARGET_MS = 40.0


class Beside:
    """One worker with a task that serves and one that fills.

    Attributes:
        harm_ms: What the full pace of the filling task adds to the tail.
    """

    def __init__(self, alone_ms: float, harm_ms: float):
        self.alone_ms = alone_ms
        self.harm_ms = harm_ms
        self.model = PoolModel(workers=1)
        serves = step_of(lasting=True, tail_target_ms=TARGET_MS)
        fills = step_of(lasting=True, fills=True, cores=6)
        self.model.add(job_of(serves, job_id="s"))
        self.model.add(job_of(fills, job_id="f"))
        self.tails = []
        self.pace = 100

    def round(self):
        tail_ms = self.alone_ms + self.harm_ms * self.pace / 100
        self.tails.append(tail_ms)
        worker = self.model.workers["w0"]
        worker.figures = {
            task: tail_ms if task.job_id == "s" else 0.0 for task, _run in worker.runs
        }
        self.model.listen("w0")
        self.model.orders.clear()
        self.model.round(0.25)
        for order in self.model.orders:
            if isinstance(order, PaceOrder):
                assert order.task.job_id == "f"
                self.pace = order.percent

    def play(self, rounds: int):
        for _round in range(rounds):
            self.round()


@pytest.mark.parametrize("harm_ms", [5.0, 20.0, 60.0, 200.0])
def test_a_serving_task_is_not_over_its_target_for_long(harm_ms):
    beside = Beside(15.0, harm_ms)
    beside.play(80)
    marks = "".join("x" if tail > TARGET_MS else " " for tail in beside.tails)
    longest = max(len(run) for run in marks.split(" "))
    # Harm counts after 4 s on end; a round is a quarter of a second.
    assert longest < 16


def test_what_harms_nobody_works_at_its_full_pace():
    beside = Beside(10.0, 5.0)
    beside.play(40)
    assert beside.pace == 100


def test_what_filled_too_much_gets_its_pace_back_when_the_harm_is_over():
    beside = Beside(15.0, 100.0)
    beside.play(20)
    assert beside.pace < 50
    beside.harm_ms = 2.0
    beside.play(60)
    assert beside.pace == 100


def test_what_fills_stands_still_beside_a_task_that_is_over_its_target():
    """Also if that changes nothing: the figures don't tell whose fault it is."""
    beside = Beside(60.0, 0.0)
    beside.play(20)
    assert beside.pace == 0


def test_paces_are_not_set_faster_than_their_effect_shows():
    beside = Beside(15.0, 100.0)
    paces = []
    for _round in range(20):
        beside.round()
        paces.append(beside.pace)
    changes = [
        index
        for index, (before, after) in enumerate(zip(paces, paces[1:], strict=False))
        if before != after
    ]
    assert all(
        later - earlier >= 2
        for earlier, later in zip(changes, changes[1:], strict=False)
    )
