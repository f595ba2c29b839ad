"""Processes the reports of workers."""

from .crashes import note_answered, note_crash
from .messages import (
    Ending,
    ListedEnd,
    ListedRun,
    Report,
    StopOrder,
    TaskName,
)
from .outcomes import save_checkpoint
from .run import Run, RunState
from .state import PoolState
from .task import Task
from .worker import Worker

AT_WORK_PERCENT = 100  # a run counts as at work from this share of its speed
LASTING_SUCCESS_S = 1.0  # a lasting run at its pace this long after its start succeeded


def handle_report(
    state: PoolState, worker: Worker, report: Report, sent_s: float, now_s: float
) -> None:
    """Process a worker's answer to a lease renewal.

    Args:
        state: State of the pool.
        worker: Worker that answered.
        report: The answer.
        sent_s: When the renewal was sent, monotonic seconds. A run known to the
            worker before this time that the answer lists neither as alive nor as
            ended is gone.
        now_s: When the answer was received, monotonic seconds.
    """
    if report.born_ms and report.born_ms != worker.info.born_ms:
        if sent_s < worker.claimed_s:
            # The directory has named a newer incarnation while the report was awaited.
            _handle_former_report(state, worker, report, now_s)
            return
        begin_incarnation(state, worker, report.born_ms, now_s)
    worker.note_clock(report.clock_ms, now_s)
    worker.reported_born_ms = report.born_ms
    if not worker.fenced:
        worker.fenced = True
        worker.fenced_since_s = now_s
    worker.silent_since_s = float("inf")
    ended = set()
    for end in sorted(report.ends, key=lambda item: item.sequence):
        ended.add((end.task, end.number))
        if end.sequence > worker.last_end_sequence:
            _handle_end(state, worker, end, now_s)
    worker.advance_ack()
    listed = _handle_listed_runs(state, worker, report.runs, sent_s, now_s)
    missing = _missing_runs(worker, listed | ended) if report.complete else []
    _note_crashed_runs(state, worker, missing, sent_s, now_s)
    note_answered(state, worker)
    worker.answered_s = now_s
    _handle_missing_runs(state, worker, missing, sent_s, now_s)


def begin_incarnation(
    state: PoolState, worker: Worker, born_ms: int, now_s: float
) -> None:
    """Record that a worker was restarted: its previous runs and ends are void.

    An order that was sent before the restart was known may have reached the new
    incarnation, which has the same name. So the runs are kept until the first
    report of the new incarnation shows which of them are alive. A start without an
    answer may take effect there too: it is stopped again, as the former incarnation's
    refusal of it is forgotten.
    """
    state.note(
        "worker reborn",
        worker=worker.worker_id,
        born_ms=born_ms,
        before_ms=worker.info.born_ms,
        runs=len(worker.runs),
    )
    worker.begin_incarnation(born_ms, now_s)
    state.permits.forget_worker(worker.worker_id)
    for task, number in worker.starts_in_doubt(now_s):
        state.orders.append(StopOrder(worker.worker_id, task, number))


def _handle_former_report(
    state: PoolState, worker: Worker, report: Report, now_s: float
) -> None:
    """Process the results in the report of an incarnation that is over.

    Its clock, its runs and the numbers of its ends say nothing of the present one.
    """
    state.note(
        "report of a former incarnation",
        worker=worker.worker_id,
        born_ms=report.born_ms,
        present_ms=worker.info.born_ms,
    )
    for end in report.ends:
        if end.ending is Ending.DONE:
            _apply_end(state, worker, end, now_s)


def _handle_end(state: PoolState, worker: Worker, end: ListedEnd, now_s: float) -> None:
    worker.last_end_sequence = end.sequence
    worker.unknown_runs.discard((end.task.job_id, end.number))
    _apply_end(state, worker, end, now_s)
    job = state.jobs.get(end.task.job_id)
    if job is not None and job.stored < job.version:
        worker.unacked_ends[end.sequence] = (end.task.job_id, job.version)
        state.unstored_ends.setdefault(end.task.job_id, {})[worker.worker_id] = None


def _apply_end(state: PoolState, worker: Worker, end: ListedEnd, now_s: float) -> None:
    run = worker.runs.get((end.task, end.number))
    if run is None:
        task = find_task(state, end.task)
        if task is not None and end.ending is Ending.DONE and not task.done:
            # The run was considered lost, but its result is valid: the task must
            # not run again.
            run = Run(task, end.task, end.number, worker.worker_id, 0)
    if run is not None:
        state.note_begun(run)
        state.note(
            "run ended",
            task=end.task,
            run=end.number,
            worker=worker.worker_id,
            born_ms=run.born_ms,
            ending=end.ending.value,
            sequence=end.sequence,
        )
        state.end_run(run, end.ending, end.checkpoint, now_s)


def _handle_listed_runs(
    state: PoolState,
    worker: Worker,
    rows: tuple[ListedRun, ...],
    sent_s: float,
    now_s: float,
) -> set[tuple[TaskName, int]]:
    listed = set()
    unknown_runs = set()
    for row in rows:
        key = (row.task, row.number)
        listed.add(key)
        run = worker.runs.get(key)
        if run is None:
            # Its job has ended, or the run was considered lost: stop it.
            unknown_runs.add((row.task.job_id, row.number))
            state.orders.append(StopOrder(worker.worker_id, row.task, row.number))
            continue
        run.state = RunState.ALIVE
        state.note_begun(run)
        run.born_ms = worker.info.born_ms
        run.expected_from_s = sent_s
        run.begun_s = min(run.begun_s, now_s)
        _update_progress(worker, run, row, now_s)
    worker.unknown_runs = unknown_runs
    return listed


def _update_progress(worker: Worker, run: Run, row: ListedRun, now_s: float) -> None:
    run.percent = row.percent
    run.measurement = row.measurement
    run.at_work = row.percent >= AT_WORK_PERCENT
    slow = row.percent < run.pace
    run.slow_since_s = min(run.slow_since_s, now_s) if slow else float("inf")
    task = run.task
    worked = not slow and run.pace > 0 and now_s - run.begun_s > LASTING_SUCCESS_S
    if task.step.lasting and worked and not run.succeeded:
        run.succeeded = True
        task.failures = 0
        worker.record_success()
    if row.checkpoint not in ("", run.checkpoint) and not task.done:
        run.checkpoint, run.checkpoint_s = row.checkpoint, now_s
        save_checkpoint(task, row.checkpoint)


def _missing_runs(worker: Worker, present: set[tuple[TaskName, int]]) -> list[Run]:
    return [
        run
        for key, run in worker.runs.items()
        if key not in present and run.state is not RunState.RECORDING
    ]


def _note_crashed_runs(
    state: PoolState, worker: Worker, missing: list[Run], sent_s: float, now_s: float
) -> None:
    crashed = [
        run
        for run in worker.runs.values()
        if run.born_ms != worker.info.born_ms
        # A worker that does not say when it started has lost it all the same.
        or (run in missing and run.is_gone(sent_s) and run.was_alive)
    ]
    note_crash(state, worker, crashed, now_s)


def _handle_missing_runs(
    state: PoolState, worker: Worker, missing: list[Run], sent_s: float, now_s: float
) -> None:
    for run in missing:
        if run.is_gone(sent_s):
            restarted = run.born_ms != worker.info.born_ms
            state.lose_run(run, "worker restarted" if restarted else "gone", now_s)
        elif run.state is RunState.DOUBTFUL:
            # It may still start unless a stop order makes the worker refuse it.
            state.stop_run(run, now_s)


def find_task(state: PoolState, name: TaskName) -> Task | None:
    """Return a task of a job that is not final, or None."""
    job = state.jobs.get(name.job_id)
    if job is None or job.phase.final:
        return None
    return job.tasks.get((name.occurrence, name.step, name.index))
