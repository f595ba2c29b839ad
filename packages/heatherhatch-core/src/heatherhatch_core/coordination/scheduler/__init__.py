"""The scheduler of one pool: receives jobs and reports, and issues orders.

It uses no sockets, clocks or random sources; callers pass in the time.
"""

from .messages import (
    Ending,
    JobWrite,
    ListedEnd,
    ListedRun,
    Order,
    PaceOrder,
    Report,
    StartOrder,
    StartResult,
    StopOrder,
    TaskName,
    WorkerInfo,
)
from .rules import Rules
from .scheduler import Scheduler

__all__ = [
    "Ending",
    "JobWrite",
    "ListedEnd",
    "ListedRun",
    "Order",
    "PaceOrder",
    "Report",
    "Rules",
    "Scheduler",
    "StartOrder",
    "StartResult",
    "StopOrder",
    "TaskName",
    "WorkerInfo",
]
