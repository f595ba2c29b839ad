"""Numbers from callers, operators, workers and machine lists stay within their ranges.

Guards against a negative need, which adds capacity to its worker and to its team's
limit, and against numbers that no arithmetic can handle.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.state.resources import Resources
from heatherhatch_core.state.work import Step
from heatherhatch_daemon.transport.http import ExchangeError
from heatherhatch_platform import bodies
from heatherhatch_platform.configuration import read_configuration, read_worker
from heatherhatch_platform.jobs import read_job
from heatherhatch_platform.machines import read_machines
from heatherhatch_platform.worker_bodies import read_report
from pool_model import PoolModel, make_job, make_step

CORES = 8
HUGE = 10**400
OUT_OF_RANGE = [-1, -0.5, 1e308, HUGE, -HUGE, True, "4", [], None]
STEP_FIELDS = ("cpu", "memMb", "gpu", "estimatedMs", "antiAffinity", "mayMiss")


def job_body(**step) -> bytes:
    return json.dumps({"spec": "run", "steps": [step]}).encode()


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize("field", [*STEP_FIELDS, "count", "targetMs"])
def test_a_step_with_a_number_out_of_range_is_refused_by_name(field, value):
    with pytest.raises(bodies.BodyError, match=field):
        read_job(job_body(**{field: value}))


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize("field", ["startAtMs", "intervalMs", "repeatCount"])
def test_a_schedule_with_a_number_out_of_range_is_refused_by_name(field, value):
    body = {"spec": "run", "steps": [{"count": 1}], field: value}
    with pytest.raises(bodies.BodyError, match=field):
        read_job(json.dumps(body).encode())


@pytest.mark.parametrize("value", [0, 1.5])
def test_a_count_that_is_not_a_number_of_tasks_is_refused(value):
    with pytest.raises(bodies.BodyError, match="count"):
        read_job(job_body(count=value))


@pytest.mark.parametrize("after", [["x"], [None], [0.5], [-1], [0], [HUGE], [[]]])
def test_a_dependency_that_is_no_earlier_step_is_refused(after):
    with pytest.raises(bodies.BodyError, match="after"):
        read_job(job_body(after=after))


def test_an_error_names_field_value_and_range():
    with pytest.raises(bodies.BodyError, match='"cpu" is -50000, not 0 to 1e\\+09'):
        read_job(job_body(cpu=-50_000))


# A step that states no need is documented to need nothing.
def test_a_need_that_is_not_stated_is_zero():
    assert read_job(job_body(count=3))[1][0].need == Resources()


@pytest.mark.parametrize("value", [-1, HUGE, "1"])
@pytest.mark.parametrize(
    "path",
    [
        ("tenants", "weight"),
        ("routes", "attempts"),
        ("routes", "priority"),
        ("routes", "stretch"),
        ("routes", "targetLatencyMs"),
    ],
)
def test_a_configuration_with_a_number_out_of_range_is_refused(path, value):
    rows, field = path
    route = {"name": "q", "host": "h", "prefix": "/", "service": "s"}
    body = {"version": 1, "routes": [route], "tenants": [{"name": "t"}]}
    assert read_configuration(json.dumps(body).encode()) is not None
    body[rows][0][field] = value
    assert read_configuration(json.dumps(body).encode()) is None


@pytest.mark.parametrize("amount", [{"cpu": -1}, {"memMb": HUGE}, {"gpu": -0.5}])
def test_a_limit_or_a_capacity_below_zero_is_refused(amount):
    body = {"version": 1, "tenants": [{"name": "t", "maximum": amount}]}
    assert read_configuration(json.dumps(body).encode()) is None
    worker = {"state": "ready", "service": "s", "zone": "z", "address": "10.0.0.1:1"}
    assert read_worker("w", json.dumps(worker).encode()) is not None
    worker["capacity"] = amount
    assert read_worker("w", json.dumps(worker).encode()) is None


def test_a_malformed_machine_does_not_hide_the_others():
    good = {"machine": "m1", "pool": "p", "state": "up", "capacity": {"cpu": 1000}}
    rows = [{**good, "capacity": {"cpu": -5}}, 7, {"machine": None}, good]
    assert [machine.name for machine in read_machines(rows)] == ["m1"]


@pytest.mark.parametrize(
    "change",
    [
        {"clockMs": HUGE},
        {"born": -1},
        {"numRunning": [["j.0.0.0", HUGE, "", 1]]},
        {"numRunning": [["j.0.0.0", 1, "", HUGE]]},
        {"numRunning": [["j.0.0.0", "1", "", 1]]},
        {"ended": [[-1, "j.0.0.0", 1, "done", ""]]},
    ],
)
def test_a_report_with_a_number_out_of_range_is_refused(change):
    with pytest.raises(ExchangeError):
        read_report({"clockMs": 10, **change})


# Guards against one job, accepted by an earlier version, whose negative need let a
# worker of 8 cores run 53 tasks of one core each.
def test_a_stored_job_with_a_negative_need_adds_no_capacity():
    model = PoolModel(workers=1, cores=CORES)
    model.add(make_job(Step(need=Resources(-50_000, -90_000)), job_id="bad"))
    model.add(make_job(make_step(60), job_id="wide"))
    worker = model.scheduler.state.workers["w0"]
    assert len(worker.runs) == CORES + 1
    assert Resources().fits(worker.free)
    assert worker.free.fits(worker.info.capacity)


integers = st.integers() | st.sampled_from([10**9, 10**308, HUGE, -HUGE])
amounts = st.builds(Resources, integers, integers, integers)
steps = st.builds(
    Step,
    count=st.integers(-3, 12),
    need=amounts,
    estimate_s=st.floats(allow_nan=False, allow_infinity=False),
    spread=st.integers(-5, 5),
    may_miss=st.integers(-5, 5),
    lasting=st.booleans(),
    fills=st.booleans(),
)


@given(st.lists(st.lists(steps, min_size=1, max_size=2), min_size=1, max_size=4))
def test_no_stored_job_breaks_the_accounting_of_a_pool(jobs):
    model = PoolModel(workers=2, cores=CORES)
    for number, job_steps in enumerate(jobs):
        model.add(make_job(*job_steps, job_id=f"j{number}", team="t"))
        assert model.scheduler.demand(model.now_s, model.now_s).cpu_m >= 0
        for worker in model.scheduler.state.workers.values():
            assert Resources().fits(worker.free)
            assert worker.free.fits(worker.info.capacity)
        assert Resources().fits(model.scheduler.state.team_used["t"])


# Pattern: one caller sends wide jobs whose tasks fit no machine. Their demand must not
# draw the machines of the other pools.
@pytest.mark.parametrize("lasting", [False, True])
def test_tasks_that_fit_no_worker_request_one_worker_at_most(lasting):
    model = PoolModel(workers=2, cores=CORES)
    model.add(make_job(make_step(3), job_id="small"))
    before = model.scheduler.demand(model.now_s, model.now_s).cpu_m
    for number in range(5):
        step = make_step(200, cores=2 * CORES, lasting=lasting)
        model.add(make_job(step, job_id=f"large-{number}"))
    model.now_s += 0.05
    needed = model.scheduler.demand(model.now_s, model.now_s).cpu_m
    assert needed <= before + CORES * 1000
    assert needed > before or lasting
