"""Run times of tasks, learned per queue and step number."""

from collections import OrderedDict

from .live import Task

MAX_STEP_KINDS = 2_000  # the least recently updated kinds are dropped first
HISTORY_WEIGHT = 0.8  # of the old value in the exponential moving average
# Bounds of each measured ratio, so that one outlier cannot spoil the estimates of
# a queue.
MIN_RATIO = 0.2
MAX_RATIO = 5.0


class RunTimes:
    """Corrects the estimates of a queue by the measured run times.

    Attributes:
        ratios: Moving average of run time over estimate, by queue and step number.
    """

    def __init__(self):
        self.ratios: OrderedDict[tuple[str, int], float] = OrderedDict()

    def learn(self, task: Task, seconds: float) -> None:
        """Add the run time of a run that succeeded, seconds."""
        if task.step.estimate_s <= 0:
            return
        kind = (task.job.job.queue, task.name.step)
        ratio = min(MAX_RATIO, max(MIN_RATIO, seconds / task.step.estimate_s))
        known = self.ratios.pop(kind, ratio)
        self.ratios[kind] = HISTORY_WEIGHT * known + (1 - HISTORY_WEIGHT) * ratio
        while len(self.ratios) > MAX_STEP_KINDS:
            self.ratios.popitem(last=False)

    def expect(self, queue: str, number: int, estimate_s: float) -> float:
        """Return the expected run time of a task of a step, seconds."""
        return estimate_s * self.ratios.get((queue, number), 1.0)
