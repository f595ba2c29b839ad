"""Who goes first when more is asked than the pool holds; no network, no bench.

The pattern: a queue in its turn asks for more than its pool holds for some
seconds, so that some jobs can't be on time whatever is done.
"""

import dataclasses

import pytest

from heatherhatch_core.state.fleet_configuration import Team
from pool_model import CONFIG, PoolModel, job_of, step_of


@pytest.fixture
def model() -> PoolModel:
    return PoolModel(workers=1, cores=2)


def running_jobs(model) -> set[str]:
    return {task.job_id for _worker, task, _run in model.alive()}


def test_a_job_that_can_be_on_time_goes_before_one_that_can_not(model):
    early = model.now_s - 10
    model.scheduler.add_job(job_of(step_of(2), job_id="late", at_s=early), None, 0)
    model.add(job_of(step_of(2), job_id="fresh", at_s=model.now_s))
    assert running_jobs(model) == {"fresh"}


def test_of_those_that_can_be_on_time_the_one_with_least_slack_goes_first(model):
    now_s = model.now_s
    model.scheduler.add_job(job_of(step_of(2), job_id="b", at_s=now_s), None, 0)
    older = job_of(step_of(2), job_id="a", at_s=now_s - 0.5)
    model.add(older)
    assert running_jobs(model) == {"a"}


def test_a_late_job_that_has_begun_is_finished_first(model):
    begun = job_of(step_of(2), step_of(2, after=(0,)), job_id="b", at_s=model.now_s)
    model.add(begun)
    model.now_s += 60
    for worker_id, task, number in model.alive():
        model.workers[worker_id].end(task, number)
    late = job_of(step_of(2), job_id="a", at_s=begun.accepted_s)
    model.scheduler.add_job(late, None, model.now_s)
    model.listen_all()
    model.round()
    assert running_jobs(model) == {"b"}


@pytest.fixture
def shared() -> PoolModel:
    """A pool of eight cores for two teams, one of which floods it."""
    teams = (Team("hot", weight=1.0), Team("calm", weight=3.0))
    config = dataclasses.replace(CONFIG, teams=teams)
    return PoolModel(workers=2, cores=4, config=config)


def flood(model, jobs: int = 20) -> None:
    for number in range(jobs):
        job = job_of(step_of(1), job_id=f"a{number}", team="hot", at_s=model.now_s)
        model.scheduler.add_job(job, None, model.now_s)
    model.round()


def test_a_team_that_floods_a_pool_waits_for_those_below_their_share(shared):
    flood(shared)
    assert len(shared.alive()) == 8
    for number in range(2):
        team = job_of(
            step_of(2), job_id=f"b{number}", team="calm", at_s=shared.now_s + 0.2
        )
        shared.scheduler.add_job(team, None, shared.now_s)
    shared.round(0.15)
    for worker_id, task, number in shared.alive()[:4]:
        shared.workers[worker_id].end(task, number)
    shared.listen_all()
    shared.round(0.15)
    jobs = [task.job_id for _worker, task, _run in shared.alive()]
    assert sorted(job for job in jobs if job.startswith("b")) == [
        "b0",
        "b0",
        "b1",
        "b1",
    ]


def test_a_team_alone_may_use_the_whole_pool(shared):
    flood(shared)
    shared.finish()
    assert len(shared.alive()) == 8


def test_what_a_team_over_its_share_has_begun_is_finished(shared):
    wide = job_of(
        step_of(8), step_of(8, after=(0,)), job_id="a", team="hot", at_s=shared.now_s
    )
    shared.add(wide)
    calm = job_of(step_of(8), job_id="b", team="calm", at_s=shared.now_s + 1.0)
    shared.scheduler.add_job(calm, None, shared.now_s)
    shared.round(0.15)
    shared.finish()
    assert running_jobs(shared) == {"a"}


def test_lasting_tasks_go_before_everything(model):
    lasting = job_of(step_of(1, cores=2, lasting=True), job_id="z", at_s=model.now_s)
    model.scheduler.add_job(lasting, None, model.now_s)
    model.add(job_of(step_of(2), job_id="a", at_s=model.now_s))
    assert running_jobs(model) == {"z"}


def test_a_wide_step_takes_what_is_free_instead_of_waiting_for_all(model):
    model.add(job_of(step_of(5), at_s=model.now_s))
    assert len(model.alive()) == 2


def test_estimates_are_corrected_by_what_runs_took(model):
    for number in range(8):
        model.add(job_of(step_of(1, estimate_s=1.0), job_id=f"j{number}"))
        model.round(0.95)
        model.round(0.95)
        model.finish()
    times = model.scheduler.state.run_times
    assert times.expect("q", 0, 1.0) > 1.3
