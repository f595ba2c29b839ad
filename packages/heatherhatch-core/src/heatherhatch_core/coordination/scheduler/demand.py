"""How much of a pool its work would take."""

from collections import deque

from .live import LiveJob
from .ordering import late
from .state import PoolState

WINDOW_S = 2.0  # arrivals of this time foretell those until a machine is there
LEAST_WINDOW_S = 0.7  # a few early jobs must not look like a rush
FEW = 3  # fewer jobs say nothing of a rate; one wide job is no rush
LATE_SHARE = 0.25  # of the waiting tasks of late jobs; they are no reason to hurry


class Arrivals:
    """The work that arrived lately.

    Attributes:
        recent: When jobs came, and their thousandths of a core times seconds.
    """

    def __init__(self):
        self.recent: deque[tuple[float, float]] = deque()

    def note(self, state: PoolState, job: LiveJob, now_s: float) -> None:
        """Take in a job that has just arrived."""
        work = 0.0
        for number, step in enumerate(job.job.steps):
            if step.lasting:
                return
            length_s = state.times.expect(job.job.queue, number, step.estimate_s)
            work += step.count * step.need.cpu_m * length_s
        self.recent.append((now_s, work))

    def cpu_m(self, now_s: float) -> float:
        """Return the thousandths of a core that would keep up with arrivals."""
        while self.recent and now_s - self.recent[0][0] > WINDOW_S:
            self.recent.popleft()
        if not self.recent:
            return 0.0
        span_s = WINDOW_S
        if len(self.recent) >= FEW:
            span_s = max(LEAST_WINDOW_S, now_s - self.recent[0][0])
        return sum(work for _at_s, work in self.recent) / span_s


def needed_cpu_m(state: PoolState, arrivals: Arrivals, now_s: float) -> int:
    """Return the thousandths of a core that the pool's work would use now.

    What waits counts as if it ran, but of late jobs only a part of it; what will
    arrive is taken from what has arrived lately.
    """
    lasting = 0.0
    batch = 0.0
    for job in state.jobs.values():
        if job.phase.final:
            continue
        share = LATE_SHARE if late(job) else 1.0
        for occurrence in job.expanded:
            for number, step in enumerate(job.job.steps):
                if step.fills or not job.ready(occurrence, number):
                    continue
                tasks = job.step_tasks(occurrence, number)
                open_tasks = [task for task in tasks if not task.settled]
                if step.lasting:
                    lasting += len(open_tasks) * step.need.cpu_m
                    continue
                running = sum(1 for task in open_tasks if task.runs)
                waiting = len(open_tasks) - running
                batch += (running + share * waiting) * step.need.cpu_m
    return int(lasting + max(batch, arrivals.cpu_m(now_s)))
