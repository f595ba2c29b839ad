"""The operators' command line shows what the store holds, and changes nothing."""

import json
import time

import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.run_times import RunTimes
from heatherhatch_core.state.work import (
    JobStatus,
    Phase,
    Progress,
    RunRecord,
    TaskRecord,
)
from heatherhatch_daemon.pools.fleet_records import MachineLoad, PoolReport
from heatherhatch_daemon.pools.keys import (
    claim_key,
    learned_key,
    report_key,
    run_key,
    status_key,
)
from heatherhatch_platform.operator_cli import main
from heatherhatch_platform_standin.store import StandinStore, StoreMode
from test_job_explanation import Records

STATUS = JobStatus(Phase.RUNNING, "till", "q-till", "red")
RUN = RunRecord(3, "i-1", 9, "m-1")
PROGRESS = Progress((TaskRecord(0, 1, 2, 3, 1, False, "", (RUN,), 2, 1),))


@pytest.fixture
def store():
    running = StandinStore()
    running.put(claim_key("pool/till"), b"n1/abc")
    loads = (MachineLoad("m1", 3, 1), MachineLoad("m2", 0, 0))
    report = PoolReport("till", 5, time.time(), {"q-till": 4}, 6500, loads, {})
    running.put(report_key("till"), encode_json(report))
    running.put(report_key("wall"), b"?")
    running.put(status_key("j1"), encode_json(STATUS))
    running.put(run_key("till", "j1"), encode_json(PROGRESS))
    yield running
    running.stop()


def run(store, *arguments, output="json"):
    words = ["--store", store.address, "--output", output, *arguments]
    return CliRunner().invoke(main, words)


def test_the_holders_of_roles_are_listed(store):
    rows = json.loads(run(store, "role", "list").stdout)
    assert [(row["role"], row["holder"]) for row in rows] == [("pool/till", "n1/abc")]
    assert "pool/till" in run(store, "role", "list", output="table").stdout


def test_pools_are_listed_although_one_report_cannot_be_read(store):
    till, wall = json.loads(run(store, "pool", "list").stdout)
    assert (till["waiting"], till["needed_cores"]) == (4, 6.5)
    assert (till["machines"], till["busy"], till["lasting"]) == (2, 1, 1)
    assert wall["problem"]


def test_evacuations_are_listed_with_the_runs_that_stay_and_why(store):
    store.put("op/evacuate/z1", b"{}")
    store.put("op/evacuate/z9", b"{}")
    staying = {"z1": {"ends by itself": 2, "no other worker has capacity": 3}}
    report = PoolReport("till", 5, time.time(), {}, 0, (), {}, staying)
    store.put(report_key("till"), encode_json(report))
    first, second = json.loads(run(store, "evacuation", "list").stdout)
    assert (first["data_centre"], first["pool"]) == ("z1", "till")
    assert (first["lasting"], first["others"]) == (3, 2)
    assert first["staying"] == "ends by itself (2), no other worker has capacity (3)"
    assert (second["data_centre"], second["pool"], second["lasting"]) == ("z9", "", 0)
    assert second["revision"] > first["revision"]


def test_run_times_are_listed_although_one_record_cannot_be_read(store):
    run_times = RunTimes()
    for _run in range(40):
        run_times.learn("q-till", 1, 2.0, 3.0)
    store.put(learned_key("till"), encode_json(run_times.snapshot()))
    store.put(learned_key("wall"), b"?")
    till, wall = json.loads(run(store, "runtime", "list").stdout)
    assert (till["queue"], till["step"], till["runs"]) == ("q-till", 1, 40)
    assert 2.5 < till["median_s"] < till["ninety_s"]
    assert 0 <= till["trust"] <= 1
    assert wall["problem"]


def test_a_job_is_shown_with_its_runs(store):
    shown = json.loads(run(store, "job", "show", "q-till", "j1").stdout)
    assert shown["summary"]["phase"] == "running"
    assert shown["runs"] == [
        {"task": "0.1.2", "run": 3, "worker": "i-1", "failures": 1, "crashes": 2}
    ]
    table = run(store, "job", "show", "q-till", "j1", output="table").stdout
    assert "running" in table
    assert "i-1" in table


def test_a_failed_job_is_shown_with_its_reason(store):
    reason = "task 0.1.2 crashed 3 workers"
    status = JobStatus(Phase.FAILED, "till", "q-till", "red", 5.0, False, reason)
    store.put(status_key("j1"), encode_json(status))
    shown = json.loads(run(store, "job", "show", "q-till", "j1").stdout)
    assert shown["summary"]["reason"] == reason


def test_a_job_of_another_queue_is_not_found(store):
    result = run(store, "job", "show", "q-wall", "j1")
    assert result.exit_code == 4
    assert 'no job "j1" of queue "q-wall"' in result.stderr


def test_a_job_is_found_by_the_former_and_the_present_name_of_its_queue(store):
    store.put(status_key("j1"), encode_json(replace(STATUS, address="h/till/")))
    route = {"name": "q-new", "host": "h", "prefix": "/till/", "service": "till"}
    config = {"version": 1, "routes": [route], "services": [], "tenants": []}
    store.put("op/config", encode_json({**config, "limits": {}}))
    for queue in ("q-till", "q-new"):
        shown = json.loads(run(store, "job", "show", queue, "j1").stdout)
        assert shown["summary"]["queue"] == "q-till"


def test_a_store_that_does_not_answer_is_named(store):
    store.mode = StoreMode.BUSY
    result = run(store, "role", "list")
    assert result.exit_code == 7
    assert store.address in result.stderr


@pytest.mark.parametrize("address", ["", "nowhere", "10.0.0.1:99999"])
def test_an_address_that_is_none_is_a_usage_error(address):
    result = CliRunner().invoke(main, ["--store", address, "role", "list"])
    assert result.exit_code == 2
    assert "host:port" in result.stderr


def test_a_configuration_is_checked_before_it_is_written(tmp_path):
    file = tmp_path / "config.json"
    body = {"version": 3, "tenants": [{"name": "t", "weight": -1}]}
    file.write_text(json.dumps(body))
    result = CliRunner().invoke(main, ["check", str(file)])
    assert result.exit_code == 2
    assert '"weight" is -1' in result.stderr
    body["tenants"][0]["weight"] = 1
    file.write_text(json.dumps(body))
    result = CliRunner().invoke(main, ["check", str(file)])
    assert result.exit_code == 0
    assert "1 teams" in result.stdout


EXPLAINED = {"steps": [{"count": 2, "cpu": 1000, "estimatedMs": 500}]}


def explain(store, body, output="json"):
    words = ["--store", store.address, "--output", output, "job", "explain", "q", "-"]
    return CliRunner().invoke(main, [*words, "--team", "red"], json.dumps(body))


def test_a_job_is_explained_and_not_sent(store):
    Records(store.memory)
    revision = store.memory.revision
    found = json.loads(explain(store, EXPLAINED).stdout)
    assert (found["pool"], found["job"]["position"]) == ("p", 1)
    assert found["job"]["steps"][0]["workers"] == ["w0"]
    table = explain(store, EXPLAINED, "table").stdout
    assert "place in line" in table
    assert "holder's memory" in table
    assert store.memory.revision == revision


def test_an_invalid_job_is_not_explained(store):
    result = explain(store, {"steps": [{"count": -1}]})
    assert result.exit_code == 2
    assert '"count" is -1' in result.stderr


def test_no_command_writes(store):
    revision = store.memory.revision
    for command in ("role list", "pool list", "evacuation list", "job show q-till j1"):
        assert run(store, *command.split()).exit_code == 0
    assert store.memory.revision == revision
