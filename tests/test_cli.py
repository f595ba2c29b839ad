"""The operators' command line, run in the test's process against real nodes."""

import json
import os
import time
from pathlib import Path

import pytest
import yaml
from click.testing import CliRunner

from callers import call
from heatherhatch_cli.cmdline import main
from heatherhatch_core.codec import encode_json
from heatherhatch_core.state.jobs import JobSpec
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.processes import FIRST_TOKEN

CANCEL_TIMEOUT_S = 15.0
EXAMPLE = Path(__file__).parent.parent / "examples" / "ciosg.yaml"


@pytest.fixture
def deployment(trial, small_edit):
    started = Deployment(trial, "cli", small_edit, nodes=2)
    started.start()
    return started


@pytest.fixture
def cli(deployment):
    environment = {
        "HEATHERHATCH_ADDRESS": deployment.operator_address(deployment.node_names[0]),
        "HEATHERHATCH_TOKEN": FIRST_TOKEN,
    }

    def run(*arguments, exit_code=0):
        result = CliRunner().invoke(main, arguments, env=environment)
        assert result.exit_code == exit_code, result.output
        return result.stdout

    return run


def test_cli_applies_and_exports_a_whole_fleet(cli, tmp_path):
    assert cli("apply", str(EXAMPLE), "--prune", "--wait", "--reason", "start")
    assert cli("diff", str(EXAMPLE), "--prune") == "nothing to change\n"

    exported = tmp_path / "fleet.yaml"
    exported.write_text(cli("export"), encoding="utf-8")
    assert cli("diff", str(exported), "--prune") == "nothing to change\n"
    assert len(yaml.safe_load(exported.read_text())["workers"]) == 30

    pools = json.loads(cli("pool", "list", "--output", "json"))
    assert [row["serving"] for row in pools] == [6] * 5

    key = json.loads(cli("key", "grant", "siop-bala", "--output", "json"))
    assert cli("key", "list").count(key["key_id"]) == 1
    assert key["token"].split(".")[1] not in cli("export")
    cli("key", "withdraw", key["key_id"], "--wait", "--reason", "lost till")
    assert cli("key", "list") == "none\n"

    cli("team", "set", "cwmni", "--limit", "40", "--reason", "busy week")
    trail = cli("audit", "--kind", "team", "--name", "cwmni")
    assert "limit=32" in trail and "limit=40" in trail and "busy week" in trail

    cli(
        "wave",
        "announce",
        "w1",
        "--start",
        "2099-02-01T22:00",
        "--end",
        "2099-02-02T02:00",
        "--failure-domain",
        "dc-1",
    )
    assert "w1" in cli("wave", "list")
    assert "w1" in cli("plan", "calendar")


def test_cli_exits_with_the_code_of_the_error(cli):
    cli("team", "set", "new", "--limit", "1", "--share", "-1", exit_code=2)
    cli("worker", "drain", "nobody", exit_code=2)
    cli("class", "set", "x", "--pool", "none", "--target-s", "1", exit_code=2)


def test_cli_drains_within_the_budget_and_returns(cli):
    cli("worker", "drain", "w1", "--reason", "loud fan", "--wait")
    cli("worker", "drain", "w2", exit_code=5)
    assert "operator loud fan" in cli("worker", "list", "--state", "draining")
    cli("worker", "return", "w1")
    assert cli("worker", "list", "--state", "draining") == "none\n"
    assert cli("moves", "--name", "w1").count("loud fan") >= 1
    cli("worker", "return", "w1", exit_code=2)


def test_cli_lists_and_cancels_jobs(cli, deployment):
    token = json.loads(cli("key", "grant", "red", "--wait", "--output", "json"))[
        "token"
    ]
    spec = encode_json(JobSpec("reconcile", "books", run_s=600.0))
    address = deployment.caller_address(deployment.node_names[0])
    for i in range(3):
        headers = {"Idempotency-Key": f"books-{i}"}
        assert call(address, "POST", "/jobs", token, spec, headers).status == 201
    assert cli("job", "list", "--team", "red").count("reconcile") == 3
    assert cli("job", "list", "--team", "blue") == "none\n"
    cli("job", "cancel", "--team", "red", "--dry-run")
    assert cli("job", "list", "--state", "cancelled") == "none\n"
    answer = cli("job", "cancel", "--team", "red", "--yes", "--output", "json")
    assert json.loads(answer) == {"count": 3}
    deadline = time.monotonic() + CANCEL_TIMEOUT_S
    while cli("job", "list", "--state", "cancelled").count("reconcile") < 3:
        assert time.monotonic() < deadline
        time.sleep(0.1)


def test_cli_dry_run_changes_nothing(cli):
    before = cli("export")
    cli("team", "set", "red", "--limit", "1", "--dry-run")
    assert cli("export") == before


def test_cli_prints_completion_scripts():
    result = CliRunner().invoke(main, ["completion", "bash"])
    assert result.exit_code == 0
    assert "_HEATHERHATCH_COMPLETE" in result.output
    assert "HEATHERHATCH_ADDRESS" not in os.environ
