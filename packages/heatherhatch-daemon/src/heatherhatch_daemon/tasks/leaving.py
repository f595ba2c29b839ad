"""When workers leave for announced waves, as the dispatcher of jobs asks it."""

from collections.abc import Callable

from heatherhatch_core.state.configuration import Configuration

from .follower import Follower


class LeavingDates:
    """Looks the next wave of a worker up; called with the worker's id.

    Args:
        follower: Source of the configuration.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(self, follower: Follower, wall_clock: Callable[[], float]):
        self.follower = follower
        self.wall_clock = wall_clock
        self.seq = -1
        self.dates: dict[str, list[tuple[float, float]]] = {}

    def __call__(self, worker_id: str) -> float | None:
        """Return the start of a worker's present or next wave, or None.

        The time is in seconds since the epoch.
        """
        config = self.follower.config
        if config.seq != self.seq:
            self.dates = _dates_of(config)
            self.seq = config.seq
        now = self.wall_clock()
        starts = [start for start, end in self.dates.get(worker_id, ()) if end > now]
        return min(starts, default=None)


def _dates_of(config: Configuration) -> dict[str, list[tuple[float, float]]]:
    dates: dict[str, list[tuple[float, float]]] = {}
    for wave in config.waves.values():
        for worker_id in wave.workers:
            dates.setdefault(worker_id, []).append((wave.start_s, wave.end_s))
    return dates
