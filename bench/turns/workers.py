"""Workers of virtual time: they obey, and list what runs and what has ended."""

from heatherhatch_core.coordination.scheduler import (
    Ending,
    ListedEnd,
    ListedRun,
    Report,
    WorkerInfo,
)


class VirtualWorker:
    """One life of a machine.

    Args:
        info: What it says of itself.
    """

    def __init__(self, info: WorkerInfo):
        self.info = info
        self.alive: dict = {}
        self.ends: list[ListedEnd] = []
        self.sequence = 0
        self.heard_s = float("-inf")

    def end(self, task, number: int, ending: Ending) -> None:
        """End a run if it is alive."""
        if self.alive.pop((task, number), None) is not None:
            self.sequence += 1
            self.ends.append(ListedEnd(self.sequence, task, number, ending, ""))

    def report(self, acked: int, now_s: float) -> Report:
        """Return what it lists."""
        self.ends = [end for end in self.ends if end.sequence > acked]
        rows = tuple(ListedRun(*run, "", 100.0, 0.0) for run in self.alive)
        return Report(self.info.born_ms, now_s * 1000.0, rows, tuple(self.ends))
