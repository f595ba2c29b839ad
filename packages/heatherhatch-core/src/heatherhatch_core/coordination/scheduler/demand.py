"""How much of a pool its work would take."""

from collections import deque

from .live import LiveJob
from .state import PoolState

WINDOW_S = 2.0  # arrivals of this time foretell those until a machine is there
LEAST_WINDOW_S = 0.7  # a single early job must not look like a rush


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
        span_s = max(LEAST_WINDOW_S, now_s - self.recent[0][0])
        return sum(work for _at_s, work in self.recent) / span_s


def needed_cpu_m(state: PoolState, arrivals: Arrivals, now_s: float) -> int:
    """Return the thousandths of a core that the pool's work would use now.

    What waits counts as if it ran; what will arrive is taken from what has
    arrived lately.
    """
    lasting = 0
    batch = 0
    for job in state.jobs.values():
        if job.phase.final:
            continue
        for occurrence in job.expanded:
            for number, step in enumerate(job.job.steps):
                if step.fills or not job.ready(occurrence, number):
                    continue
                open_tasks = sum(
                    1 for task in job.step_tasks(occurrence, number) if not task.settled
                )
                if step.lasting:
                    lasting += open_tasks * step.need.cpu_m
                else:
                    batch += open_tasks * step.need.cpu_m
    return lasting + int(max(batch, arrivals.cpu_m(now_s)))
