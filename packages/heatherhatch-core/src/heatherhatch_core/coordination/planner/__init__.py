"""Planning of announced maintenance waves: demand, lending and explanation."""

from .assembly import plan_waves
from .messages import (
    Cover,
    Departure,
    Move,
    Plan,
    PlanTiming,
    Shortfall,
    drain_time,
    drain_times,
)
from .steps import Evidence, Steps, due_steps, failure_edit

__all__ = [
    "Cover",
    "Departure",
    "Evidence",
    "Move",
    "Plan",
    "PlanTiming",
    "Shortfall",
    "Steps",
    "due_steps",
    "failure_edit",
    "drain_time",
    "drain_times",
    "plan_waves",
]
