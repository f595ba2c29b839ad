"""Logs and metrics tell a pool that stands still from one that has nothing to do."""

import dataclasses

import pytest

from heatherhatch_core.state.work import Schedule
from heatherhatch_daemon.events import LOG, Event
from heatherhatch_daemon.pools.pool_health import pool_health
from heatherhatch_daemon.pools.pool_watchdog import PoolWatchdog
from pool_model import PoolModel, make_job, make_step


@pytest.fixture
def model() -> PoolModel:
    return PoolModel(workers=1, cores=2)


def health_of(model, wall_s):
    return pool_health(model.scheduler.state, model.now_s, wall_s)


def test_a_job_that_waits_is_idle_and_one_that_runs_is_not(model):
    model.add(make_job(make_step(cores=2), job_id="j1", at_s=90.0))
    model.add(make_job(make_step(cores=2), job_id="j2", at_s=91.0))
    model.add(make_job(make_step(cores=2), job_id="j3", at_s=92.0))
    health = health_of(model, 100.0)
    assert (health.jobs, health.idle_jobs) == (3, 2)
    assert (health.oldest_idle_job, health.oldest_idle_s) == ("j2", 9.0)


def test_an_occurrence_that_is_not_due_is_not_idle(model):
    schedule = Schedule(first_s=150.0, interval_s=10.0, count=2)
    model.add(dataclasses.replace(make_job(make_step()), schedule=schedule))
    assert health_of(model, 140.0).idle_jobs == 0
    health = health_of(model, 152.0)
    assert (health.oldest_idle_job, health.oldest_idle_s) == ("j1", 2.0)


def test_the_log_names_the_oldest_idle_job_before_the_pool_is_loaded(
    model, monkeypatch
):
    found = []
    monkeypatch.setattr(
        LOG, "sink", lambda event, details: found.append((event, details))
    )
    model.scheduler.add_job(make_job(make_step()), None, model.now_s)
    watchdog = PoolWatchdog(model.scheduler, lambda: True, print)
    watchdog.log_health()
    (event, details) = found[0]
    assert event is Event.POOL_HEALTH
    assert (details["oldest_idle_job"], details["loaded"]) == ("j1", False)
