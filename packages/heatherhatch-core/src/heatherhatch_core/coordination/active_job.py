"""A live job with its observed usage and charges."""

from dataclasses import dataclass

from ..state.jobs import Job, Usage


@dataclass(slots=True)
class ActiveJob:
    """A live job with its observed usage and charges.

    Attributes:
        job: The job as recorded.
        revision: Store revision of the record.
        reported_usage: Last reported usage, None before the first report.
        charged_from_s: Time of the last round before the job was first charged,
            monotonic seconds; None before that.
        charged: What its team was charged for it so far, as a fraction of the
            fleet times seconds.
    """

    job: Job
    revision: int
    reported_usage: Usage | None = None
    charged_from_s: float | None = None
    charged: float = 0.0
