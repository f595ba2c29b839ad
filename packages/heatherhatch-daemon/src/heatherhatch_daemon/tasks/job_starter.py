"""Starts waiting jobs: decided, then recorded, then sent to the workers."""

from collections.abc import Callable

from heatherhatch_core.coordination import attempts
from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.coordination.dispatch_round import DispatchRound, Start
from heatherhatch_core.coordination.placement import DrainTime
from heatherhatch_core.state.jobs import Job

from ..transport.workers import TaskReport, TaskState
from .attempt_ends import controls_of
from .follower import Follower
from .job_commits import JobCommits
from .job_records import BATCH_JOBS, Update
from .task_follower import Attempt, TaskFollower


class JobStarter:
    """Starts what a round of decisions chose; nothing runs before its record.

    Args:
        commits: Writes of job records; its ledger says what teams may use.
        follower: Source of the configuration and of this node's standing.
        tasks: Exchanges with workers.
        adopt: Returns the attempt of a running job.
        drain_time: When a worker leaves, seconds since the epoch, or None.
        wall_clock: Returns seconds since the epoch.
        pause: Lets the rest of the node run between two decisions.
    """

    def __init__(
        self,
        commits: JobCommits,
        follower: Follower,
        tasks: TaskFollower,
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

    def start(self, dispatch: Dispatch) -> None:
        """Decide, record and start, as far as this node has standing.

        Args:
            dispatch: Live jobs.

        Raises:
            StoreError: The store did not answer.
        """
        if not dispatch.queue or not self.follower.has_standing():
            return
        self.ledger.refresh()
        recorded = self._record_starts(dispatch, self._able_starts(dispatch))
        self.tasks.run_all(
            [lambda job=update.after: self._send(dispatch, job) for update in recorded]
        )
        self._say_stuck(dispatch)

    def _able_starts(self, dispatch: Dispatch) -> list[Start]:
        rounds = DispatchRound(
            dispatch,
            self.follower.config,
            self.drain_time,
            self.clock(),
            self.wall_clock(),
        )
        # A whole round takes longer than requests on this node may be held up.
        starts = []
        self.pause()
        for step in rounds.steps(self._usable):
            if step is not None:
                starts.append(step)
            self.pause()
        return [item for item in starts if self._is_able(dispatch, item)]

    def _is_able(self, dispatch: Dispatch, start: Start) -> bool:
        able = self._has_readings(dispatch, start)
        if not able:
            self._not_started(dispatch, start.job.job_id, start.workers)
        return able

    def _record_starts(self, dispatch: Dispatch, starts: list[Start]) -> list[Update]:
        now = self.wall_clock()
        updates = []
        for item in starts:
            revision = dispatch.live[item.job.job_id].revision
            after = attempts.start(item.job, item.workers, now)
            updates.append(Update(item.job, revision, after))
        recorded = self.commits.record(dispatch, updates)
        kept = {update.after.job_id for update in recorded}
        for update in updates:
            if update.after.job_id not in kept:
                self._not_started(dispatch, update.after.job_id, update.after.workers)
        return recorded

    def _has_readings(self, dispatch: Dispatch, start: Start) -> bool:
        controls = controls_of(self.follower.config, start.workers)
        for worker_id in start.workers:
            known = self.tasks.known.get(worker_id)
            if known and self.clock() - known.answered_s < self.tasks.lease_s:
                continue
            if not self.tasks.sync(worker_id, controls[worker_id], []):
                dispatch.mark_unresponsive(worker_id, self.clock())
                return False
        return True

    def _not_started(
        self, dispatch: Dispatch, job_id: str, workers: tuple[str, ...]
    ) -> None:
        for worker_id in workers:
            dispatch.quarantine.record_no_result(worker_id, job_id)

    def _send(self, dispatch: Dispatch, job: Job) -> None:
        attempt = self.adopt(job)
        controls = controls_of(self.follower.config, job.workers)
        for worker_id in job.workers:
            if not self.tasks.start(job, worker_id, controls[worker_id]):
                dispatch.mark_unresponsive(worker_id, self.clock())
                # The round that follows ends the attempt everywhere.
                report = TaskReport(job.job_id, job.attempt, TaskState.UNKNOWN)
                attempt.note(worker_id, report)
                return

    def _say_stuck(self, dispatch: Dispatch) -> None:
        updates = []
        for job, text in dispatch.unplaceable_jobs(self.follower.config):
            detail = f"can't run: {text}"
            if job.detail != detail and len(updates) < BATCH_JOBS:
                revision = dispatch.live[job.job_id].revision
                after = attempts.requeue(job, detail)
                updates.append(Update(job, revision, after))
        self.commits.record(dispatch, updates)

    def _usable(self, team: str) -> int:
        return self.ledger.usable(self.follower.config, team)
