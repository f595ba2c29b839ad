"""CPU that a pool needs so that the work that waits is on time.

Load: the peak of a queue begins, and many jobs wait at once, each of which can wait
for a short time. By the time that enough machines to run all of them at once were
moved, most of the jobs have ended on the machines that the pool had before.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OpenWork:
    """Tasks of one step that run or wait.

    Attributes:
        cpu_m: CPU that they use together, thousandths of a core.
        length_s: How long each of them still takes, seconds.
        begin_in_s: Time until which they must begin to be on time, seconds; 0 or less
            if they run, or if that time has passed.
        runs: True if they run.
    """

    cpu_m: int
    length_s: float
    begin_in_s: float = 0.0
    runs: bool = False


def cpu_to_be_on_time(
    works: Iterable[OpenWork], have_cpu_m: float, lead_s: float
) -> float:
    """Return the CPU that the pool needs once ordered machines can serve it.

    It is the least CPU with which all work ends in time that the present machines
    leave over, and never more than what runs it all at once.

    Args:
        works: Tasks that run or wait.
        have_cpu_m: CPU of the machines that serve the pool, thousandths of a core.
        lead_s: Time from now until a machine that is ordered now serves, seconds.

    Returns:
        Thousandths of a core.
    """
    done_before = have_cpu_m * lead_s
    later: list[tuple[float, float]] = []
    for work in works:
        if not work.runs:
            ends_in_s = max(0.0, work.begin_in_s) + work.length_s
            horizon_s = max(ends_in_s - lead_s, work.length_s)
            later.append((horizon_s, work.cpu_m * work.length_s))
            continue
        done_before -= work.cpu_m * min(work.length_s, lead_s)
        if work.length_s > lead_s:
            horizon_s = work.length_s - lead_s
            later.append((horizon_s, work.cpu_m * horizon_s))
    left = -max(0.0, done_before)
    most = 0.0
    for horizon_s, amount in sorted(later):
        left += amount
        if horizon_s > 0.0:
            most = max(most, left / horizon_s)
    return most
