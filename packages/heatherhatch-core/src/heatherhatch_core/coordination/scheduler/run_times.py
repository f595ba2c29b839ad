"""Run times of tasks, learned for each kind of step."""

from collections import OrderedDict

from .live import Task

KINDS_MOST = 2_000  # kinds that are remembered, the least recent go first
KEEP = 0.8  # weight of what was known against one new run time
RATIO_LEAST = 0.2  # a learned ratio stays within these bounds, so that one odd run
RATIO_MOST = 5.0  # can't make a queue's estimates absurd


class RunTimes:
    """Corrects the stated estimates of a queue by what its runs took.

    Attributes:
        ratios: Run time over estimate, by queue and step number.
    """

    def __init__(self):
        self.ratios: OrderedDict[tuple[str, int], float] = OrderedDict()

    def learn(self, task: Task, seconds: float) -> None:
        """Take in a run that ended well."""
        if task.step.estimate_s <= 0:
            return
        kind = (task.job.job.queue, task.name.step)
        ratio = min(RATIO_MOST, max(RATIO_LEAST, seconds / task.step.estimate_s))
        known = self.ratios.pop(kind, ratio)
        self.ratios[kind] = KEEP * known + (1 - KEEP) * ratio
        while len(self.ratios) > KINDS_MOST:
            self.ratios.popitem(last=False)

    def expect(self, queue: str, number: int, estimate_s: float) -> float:
        """Return how long a task of a step is expected to run, seconds."""
        return estimate_s * self.ratios.get((queue, number), 1.0)
