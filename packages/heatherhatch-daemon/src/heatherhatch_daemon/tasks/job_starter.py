"""Starts waiting jobs: selects, records in the store, then sends orders to workers."""

from collections.abc import Callable

from heatherhatch_core.coordination import attempts
from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.coordination.dispatch_round import DispatchRound, Start
from heatherhatch_core.coordination.placement import DrainTime
from heatherhatch_core.state.jobs import Job

from ..transport.workers import TaskReport, TaskState
from .attempt_ends import control_addresses
from .follower import Follower
from .job_commits import JobCommits
from .job_records import BATCH_JOBS, Update
from .task_monitor import Attempt, TaskMonitor

RESOLVE_INTERVAL_S = 1.0  # between two questions to workers of lost attempts


class JobStarter:
    """Starts the jobs that a dispatch round selects.

    No task is ordered before the start of its job is recorded in the store.

    Args:
        commits: Writes job records; its ledger states what teams may still use.
        follower: Source of the configuration and of this node's standing.
        tasks: Exchanges messages with workers about running tasks.
        adopt: Returns the attempt of a running job.
        drain_time: Returns when a worker must be drained, seconds since the
            epoch, or None.
        wall_clock: Returns seconds since the epoch.
        pause: Yields to the other greenlets of the node between two decisions.
    """

    def __init__(
        self,
        commits: JobCommits,
        follower: Follower,
        tasks: TaskMonitor,
        adopt: Callable[[Job], Attempt],
        drain_time: DrainTime,
        wall_clock: Callable[[], float],
        pause: Callable[[], None],
    ):
        self.commits = commits
        self.ledger = commits.ledger
        self.follower = follower
        self.tasks = tasks
        self.adopt = adopt
        self.drain_time = drain_time
        self.clock = tasks.clock
        self.wall_clock = wall_clock
        self.pause = pause
        self.resolved_s = float("-inf")

    def start(self, dispatch: Dispatch) -> None:
        """Select, record and start jobs if this node has standing.

        Args:
            dispatch: State of all live jobs.

        Raises:
            StoreError: If the store does not answer.
        """
        if not dispatch.queue or not self.follower.has_standing():
            return
        self.ledger.refresh()
        self._resolve_losses(dispatch)
        recorded = self._record_starts(dispatch, self._ready_starts(dispatch))
        self.tasks.run_all(
            [lambda job=update.after: self._send(dispatch, job) for update in recorded]
        )
        self._report_unplaceable_jobs(dispatch)

    def _resolve_losses(self, dispatch: Dispatch) -> None:
        """Find out whether the workers of lost attempts have crashed."""
        now_s = self.clock()
        jobs = [job for job in dispatch.queue.jobs() if job.losses]
        if not jobs or now_s - self.resolved_s < RESOLVE_INTERVAL_S:
            return
        self.resolved_s = now_s
        lost_with = {loss.worker_id for job in jobs for loss in job.losses}
        addresses = control_addresses(self.follower.config, sorted(lost_with))
        answered: set[str] = set()
        self.tasks.run_all(
            [
                lambda name=name: (
                    self.tasks.sync(name, addresses[name], []) and answered.add(name)
                )
                for name in addresses
            ]
        )
        known = self.tasks.boots()
        boots = {name: known[name] for name in answered}
        updates = []
        for job in jobs[:BATCH_JOBS]:
            after = attempts.resolve_losses(job, boots, self.wall_clock())
            if after != job:
                updates.append(Update(job, dispatch.live[job.job_id].revision, after))
        self.commits.record(dispatch, updates)

    def _ready_starts(self, dispatch: Dispatch) -> list[Start]:
        dispatch_round = DispatchRound(
            dispatch,
            self.follower.config,
            self.drain_time,
            self.clock(),
            self.wall_clock(),
        )
        # A whole round takes longer than requests on this node may be delayed, so
        # other greenlets get to run between its steps.
        starts = []
        self.pause()
        for step in dispatch_round.steps(self._usable):
            if step is not None:
                starts.append(step)
            self.pause()
        return [item for item in starts if self._is_ready(dispatch, item)]

    def _is_ready(self, dispatch: Dispatch, start: Start) -> bool:
        is_ready = self._has_clock_readings(dispatch, start)
        if not is_ready:
            self._record_not_started(dispatch, start.job.job_id, start.workers)
        return is_ready

    def _record_starts(self, dispatch: Dispatch, starts: list[Start]) -> list[Update]:
        now = self.wall_clock()
        boots = self.tasks.boots()
        updates = []
        for item in starts:
            revision = dispatch.live[item.job.job_id].revision
            known = tuple(boots.get(worker_id, "") for worker_id in item.workers)
            after = attempts.start(item.job, item.workers, now, known)
            updates.append(Update(item.job, revision, after))
        recorded = self.commits.record(dispatch, updates)
        kept = {update.after.job_id for update in recorded}
        for update in updates:
            if update.after.job_id not in kept:
                self._record_not_started(
                    dispatch, update.after.job_id, update.after.workers
                )
        return recorded

    def _has_clock_readings(self, dispatch: Dispatch, start: Start) -> bool:
        addresses = control_addresses(self.follower.config, start.workers)
        for worker_id in start.workers:
            worker_clock = self.tasks.worker_clocks.get(worker_id)
            if (
                worker_clock
                and self.clock() - worker_clock.answered_s < self.tasks.lease_s
            ):
                continue
            if not self.tasks.sync(worker_id, addresses[worker_id], []):
                dispatch.mark_unresponsive(worker_id, self.clock())
                return False
        return True

    def _record_not_started(
        self, dispatch: Dispatch, job_id: str, workers: tuple[str, ...]
    ) -> None:
        for worker_id in workers:
            dispatch.quarantine.record_no_result(worker_id, job_id)

    def _send(self, dispatch: Dispatch, job: Job) -> None:
        attempt = self.adopt(job)
        addresses = control_addresses(self.follower.config, job.workers)
        for worker_id in job.workers:
            if not self.tasks.start(job, worker_id, addresses[worker_id]):
                dispatch.mark_unresponsive(worker_id, self.clock())
                # The next round ends the attempt on all its workers.
                report = TaskReport(job.job_id, job.attempt, TaskState.UNKNOWN)
                attempt.store_report(worker_id, report)
                return

    def _report_unplaceable_jobs(self, dispatch: Dispatch) -> None:
        updates = []
        for job, reason in dispatch.unplaceable_jobs(self.follower.config):
            detail = f"can't run: {reason}"
            if job.detail != detail and len(updates) < BATCH_JOBS:
                revision = dispatch.live[job.job_id].revision
                after = attempts.requeue(job, detail)
                updates.append(Update(job, revision, after))
        self.commits.record(dispatch, updates)

    def _usable(self, team: str) -> int:
        return self.ledger.usable(self.follower.config, team)
