"""A live job, with what its dispatcher saw of it."""

from dataclasses import dataclass

from ..state.jobs import Job, Usage


@dataclass(slots=True)
class Live:
    """A live job and what was seen of it.

    Attributes:
        job: The job as recorded.
        revision: Store revision of the record.
        seen: Usage reported lately, None before the first report.
        begun_s: Round in which it started to run, monotonic seconds; None
            before it was counted.
        charged: What its team was charged for it so far.
    """

    job: Job
    revision: int
    seen: Usage | None = None
    begun_s: float | None = None
    charged: float = 0.0
