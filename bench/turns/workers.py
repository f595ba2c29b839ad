"""Simulated workers, which list their running and ended runs."""

from heatherhatch_core.coordination.scheduler import (
    Ending,
    ListedEnd,
    ListedRun,
    Report,
    WorkerInfo,
)


class VirtualWorker:
    """One incarnation of the worker on a machine.

    Args:
        info: Directory entry of the worker.
    """

    def __init__(self, info: WorkerInfo):
        self.info = info
        self.running: dict = {}
        self.ends: list[ListedEnd] = []
        self.sequence = 0
        self.last_report_s = float("-inf")

    def end(self, task, number: int, ending: Ending) -> None:
        """End a run if it is still running."""
        if self.running.pop((task, number), None) is not None:
            self.sequence += 1
            self.ends.append(ListedEnd(self.sequence, task, number, ending, ""))

    def report(self, acked: int, now_s: float) -> Report:
        """Return a report, without the ends up to the acknowledged sequence number."""
        self.ends = [end for end in self.ends if end.sequence > acked]
        rows = tuple(ListedRun(*run, "", 100.0, 0.0) for run in self.running)
        return Report(self.info.born_ms, now_s * 1000.0, rows, tuple(self.ends))
