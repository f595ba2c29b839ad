"""Order of jobs when the demand exceeds the capacity of the pool.

During a burst of a few seconds, a queue demands more than its pool can run, so some
jobs are late in any order.
"""

import dataclasses

import pytest

from heatherhatch_core.state.fleet_configuration import Team
from pool_model import CONFIG, PoolModel, make_job, make_step


@pytest.fixture
def model() -> PoolModel:
    return PoolModel(workers=1, cores=2)


def running_jobs(model) -> set[str]:
    return {task.job_id for _worker, task, _run in model.alive_runs()}


def test_a_job_that_can_be_on_time_runs_before_a_late_one(model):
    early = model.now_s - 10
    model.scheduler.add_job(make_job(make_step(2), job_id="late", at_s=early), None, 0)
    model.add(make_job(make_step(2), job_id="fresh", at_s=model.now_s))
    assert running_jobs(model) == {"fresh"}


def test_among_jobs_on_time_the_one_with_least_slack_runs_first(model):
    now_s = model.now_s
    model.scheduler.add_job(make_job(make_step(2), job_id="b", at_s=now_s), None, 0)
    older = make_job(make_step(2), job_id="a", at_s=now_s - 0.5)
    model.add(older)
    assert running_jobs(model) == {"a"}


def test_a_late_job_that_has_started_is_finished_first(model):
    started_job = make_job(
        make_step(2), make_step(2, after=(0,)), job_id="b", at_s=model.now_s
    )
    model.add(started_job)
    model.now_s += 60
    for worker_id, task, number in model.alive_runs():
        model.workers[worker_id].end(task, number)
    late = make_job(make_step(2), job_id="a", at_s=started_job.accepted_s)
    model.scheduler.add_job(late, None, model.now_s)
    model.receive_reports()
    model.round()
    assert running_jobs(model) == {"b"}


@pytest.fixture
def shared_pool() -> PoolModel:
    """Return a pool of eight cores for two teams, one of which submits a burst."""
    teams = (Team("hot", weight=1.0), Team("calm", weight=3.0))
    config = dataclasses.replace(CONFIG, teams=teams)
    return PoolModel(workers=2, cores=4, config=config)


def submit_burst(model, jobs: int = 20) -> None:
    for number in range(jobs):
        job = make_job(make_step(1), job_id=f"a{number}", team="hot", at_s=model.now_s)
        model.scheduler.add_job(job, None, model.now_s)
    model.round()


def test_a_team_over_its_share_waits_for_teams_below_theirs(shared_pool):
    submit_burst(shared_pool)
    assert len(shared_pool.alive_runs()) == 8
    for number in range(2):
        job = make_job(
            make_step(2), job_id=f"b{number}", team="calm", at_s=shared_pool.now_s + 0.2
        )
        shared_pool.scheduler.add_job(job, None, shared_pool.now_s)
    shared_pool.round(0.15)
    for worker_id, task, number in shared_pool.alive_runs()[:4]:
        shared_pool.workers[worker_id].end(task, number)
    shared_pool.receive_reports()
    shared_pool.round(0.15)
    jobs = [task.job_id for _worker, task, _run in shared_pool.alive_runs()]
    assert sorted(job for job in jobs if job.startswith("b")) == [
        "b0",
        "b0",
        "b1",
        "b1",
    ]


def test_a_team_without_competitors_may_use_the_whole_pool(shared_pool):
    submit_burst(shared_pool)
    shared_pool.finish()
    assert len(shared_pool.alive_runs()) == 8


def test_started_jobs_of_a_team_over_its_share_are_finished(shared_pool):
    wide_job = make_job(
        make_step(8),
        make_step(8, after=(0,)),
        job_id="a",
        team="hot",
        at_s=shared_pool.now_s,
    )
    shared_pool.add(wide_job)
    other_team_job = make_job(
        make_step(8), job_id="b", team="calm", at_s=shared_pool.now_s + 1.0
    )
    shared_pool.scheduler.add_job(other_team_job, None, shared_pool.now_s)
    shared_pool.round(0.15)
    shared_pool.finish()
    assert running_jobs(shared_pool) == {"a"}


def test_lasting_tasks_run_before_all_others(model):
    lasting = make_job(
        make_step(1, cores=2, lasting=True), job_id="z", at_s=model.now_s
    )
    model.scheduler.add_job(lasting, None, model.now_s)
    model.add(make_job(make_step(2), job_id="a", at_s=model.now_s))
    assert running_jobs(model) == {"z"}


def test_a_wide_step_starts_in_part_on_the_free_capacity(model):
    model.add(make_job(make_step(5), at_s=model.now_s))
    assert len(model.alive_runs()) == 2


def test_estimates_are_corrected_by_measured_run_times(model):
    for number in range(8):
        model.add(make_job(make_step(1, estimate_s=1.0), job_id=f"j{number}"))
        model.round(0.95)
        model.round(0.95)
        model.finish()
    run_times = model.scheduler.state.run_times
    assert run_times.expect("q", 0, 1.0) > 1.3
