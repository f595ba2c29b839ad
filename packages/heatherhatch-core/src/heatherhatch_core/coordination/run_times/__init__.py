"""Run times of tasks, learned from the runs that have ended.

It uses no clocks, sockets or random sources.
"""

from .observations import RunSeen
from .record import MAX_RECORD_BYTES, RunTimesRecord, decode_record
from .run_times import RunTimes
from .summary import KindSummary, summarize

__all__ = [
    "MAX_RECORD_BYTES",
    "KindSummary",
    "RunSeen",
    "RunTimes",
    "RunTimesRecord",
    "decode_record",
    "summarize",
]
