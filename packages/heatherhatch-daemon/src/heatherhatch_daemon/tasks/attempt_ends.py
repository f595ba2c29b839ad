"""Ends of attempts: when an attempt must end and the job's state afterwards."""

from collections.abc import Callable, Iterable

from heatherhatch_core.coordination import attempts
from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.coordination.placement import DrainTime
from heatherhatch_core.coordination.preemption import (
    PoolPreemption,
    PreemptionLevel,
    must_move_off,
)
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import WorkerState
from heatherhatch_core.state.jobs import Job, JobState, Loss, Usage

from ..events import Event, log
from ..transport.workers import TaskReport, TaskState
from .follower import Follower
from .task_monitor import Attempt, TaskMonitor

# Ends that only the incarnation that ran the attempt reports.
REPORTED_ENDS = frozenset([TaskState.DONE, TaskState.FAILED, TaskState.CHECKPOINTED])


class AttemptEnds:
    """Decides when attempts end and orders workers to stop them.

    Args:
        tasks: Exchanges messages with workers about running tasks.
        follower: Source of the configuration.
        drain_time: Returns when a worker must be drained, seconds since the
            epoch, or None.
        wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        tasks: TaskMonitor,
        follower: Follower,
        drain_time: DrainTime,
        wall_clock: Callable[[], float],
    ):
        self.tasks = tasks
        self.follower = follower
        self.drain_time = drain_time
        self.wall_clock = wall_clock

    def next_state(
        self, dispatch: Dispatch, job: Job, attempt: Attempt, preemption: PoolPreemption
    ) -> Job | None:
        """Return the job after its attempt has ended, or None while it continues.

        If an attempt must end, each of its workers is ordered to stop it. It has
        ended once all of them have confirmed that or its lease has certainly
        expired.

        Args:
            dispatch: State of all live jobs, including estimates of their run
                times and quarantined workers.
            job: Running job.
            attempt: State of its attempt.
            preemption: State of throttling and preemption in its pool.
        """
        reports = [attempt.reports.get(worker_id) for worker_id in job.workers]
        if all(report and report.state is TaskState.DONE for report in reports):
            used = _measured_usage(job, reports)
            return attempts.end(job, JobState.DONE, "", self.wall_clock(), used)
        reason = self._reason_to_end(dispatch, job, attempt, preemption)
        if not reason:
            return None
        self._stop_on_workers(job, attempt)
        if not self._is_over(job, attempt):
            return None
        return self._job_after_end(dispatch, job, attempt, reason)

    def _reason_to_end(self, dispatch, job, attempt, preemption) -> str:
        if job.cancel:
            return "cancelled"
        for worker_id in job.workers:
            report = attempt.reports.get(worker_id)
            state = report.state if report is not None else None
            if state not in (None, TaskState.RUNNING, TaskState.DONE):
                return f"{state.value} on {worker_id}"
            if state is not TaskState.DONE and attempt.evidence.has_expired(
                self.tasks.clock()
            ):
                return f"worker {worker_id} does not answer"
        return self._reason_to_move(dispatch, job, preemption)

    def _reason_to_move(self, dispatch, job, preemption) -> str:
        now = self.wall_clock()
        remaining_s = dispatch.remaining_s(job, now)
        for worker_id in job.workers:
            if worker_id not in self.follower.config.workers:
                continue
            if self.follower.config.state_of(worker_id) is not WorkerState.SERVING:
                return f"worker {worker_id} is leaving"
            drain_at_s = self.drain_time(worker_id)
            if drain_at_s is not None and must_move_off(
                job, drain_at_s, remaining_s, now
            ):
                return f"worker {worker_id} is drained for maintenance"
        if preemption.level is PreemptionLevel.CHECKPOINT and job.spec.checkpoints:
            return "preempted by urgent work in its pool"
        return ""

    def _stop_on_workers(self, job: Job, attempt: Attempt) -> None:
        save = job.spec.checkpoints and not job.cancel
        addresses = control_addresses(self.follower.config, job.workers)
        for worker_id, control in addresses.items():
            if not attempt.ended_on(worker_id):
                self.tasks.end(attempt, worker_id, control, save)

    def _is_over(self, job: Job, attempt: Attempt) -> bool:
        if attempt.evidence.has_expired(self.tasks.clock()):
            return True
        return all(attempt.ended_on(worker_id) for worker_id in job.workers)

    def _job_after_end(self, dispatch, job, attempt, reason) -> Job:
        now = self.wall_clock()
        if job.cancel:
            return attempts.end(job, JobState.CANCELLED, "cancelled", now)
        for worker_id in job.workers:
            report = attempt.reports.get(worker_id)
            if report is not None and report.state is TaskState.FAILED:
                return self._job_after_failure(dispatch, job, worker_id, report)
        progress = _saved_progress(job, attempt)
        after = attempts.requeue(
            job, reason, progress, self._losses(dispatch, job, attempt)
        )
        # A worker whose last answer is from before may have crashed since.
        restarted = {
            loss.worker_id: boot
            for loss in after.losses
            if (boot := self.tasks.boots().get(loss.worker_id, loss.boot)) != loss.boot
        }
        return attempts.resolve_losses(after, restarted, now)

    def _losses(self, dispatch: Dispatch, job: Job, attempt: Attempt) -> tuple:
        """Return the losses of workers that may have crashed during an attempt."""
        shared = {
            worker_id
            for other in dispatch.running.values()
            if other.job.job_id != job.job_id
            for worker_id in other.job.workers
        }
        return tuple(
            Loss(worker_id, boot, worker_id not in shared)
            for worker_id, boot in zip(job.workers, job.boots, strict=False)
            if boot and self._may_have_crashed(attempt, worker_id, boot)
        )

    def _may_have_crashed(self, attempt: Attempt, worker_id: str, boot: str) -> bool:
        workers = self.follower.config.workers
        if (
            worker_id not in workers
            or self.follower.config.state_of(worker_id) is not WorkerState.SERVING
        ):
            return False
        report = attempt.reports.get(worker_id)
        if report is not None and report.state in REPORTED_ENDS:
            return False
        # After a restart a worker confirms a stop of an attempt that it never knew.
        restarted = self.tasks.boots().get(worker_id, boot) != boot
        return restarted or not attempt.ended_on(worker_id)

    def _job_after_failure(self, dispatch, job, worker_id, report) -> Job:
        quarantine_started = dispatch.quarantine.failed(
            worker_id, job.team, job.job_id, self.tasks.clock()
        )
        if quarantine_started:
            log(Event.WORKER_QUARANTINED, worker=worker_id)
        quarantined_workers = frozenset(dispatch.quarantine.quarantined())
        return attempts.failed_attempt(
            job, worker_id, report.detail, self.wall_clock(), quarantined_workers
        )


def control_addresses(
    config: Configuration, worker_ids: Iterable[str]
) -> dict[str, str]:
    """Return the ``host:port`` of the task control of each worker that has one."""
    workers = config.workers
    return {
        worker_id: workers[worker_id].control
        for worker_id in worker_ids
        if worker_id in workers and workers[worker_id].control
    }


def _measured_usage(job: Job, reports: list[TaskReport]) -> Usage:
    # The run time is extrapolated to the whole job, because earlier attempts
    # may have saved a part of the work in a checkpoint.
    ran_s = max(report.run_s for report in reports)
    return Usage(
        max(report.cpus for report in reports),
        max(report.memory_mb for report in reports),
        job.spec.accelerators,
        ran_s / max(0.05, 1 - job.progress),
    )


def _saved_progress(job: Job, attempt: Attempt) -> float:
    if not job.spec.checkpoints:
        return 0.0
    reports = [attempt.reports.get(worker_id) for worker_id in job.workers]
    states = {report.state if report else None for report in reports}
    if not states <= {TaskState.CHECKPOINTED, TaskState.DONE}:
        return 0.0
    return min(report.progress for report in reports)
