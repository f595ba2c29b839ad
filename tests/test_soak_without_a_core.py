"""The soak says so if its own process had no core, and passes nothing for that."""

import time
from types import SimpleNamespace

import pytest

from heatherhatch_platform_standin.core_wait import CoreWait
from heatherhatch_platform_standin.ledger import Ledger
from heatherhatch_platform_standin.load import Callers
from heatherhatch_platform_standin.soak_result import SoakResult


@pytest.mark.parametrize(
    ("waited_s", "share"), [(10.0, 0.5), (15.0, 0.75), (40.0, 1.0)]
)
def test_only_time_without_a_core_counts(tmp_path, monkeypatch, waited_s, share):
    counters = tmp_path / "schedstat"
    counters.write_text("1000000000 5000000000 7\n")
    monkeypatch.setattr(time, "monotonic", lambda: 100.0)
    core_wait = CoreWait(counters)
    counters.write_text(f"9000000000 {5_000_000_000 + int(waited_s * 1e9)} 8\n")
    monkeypatch.setattr(time, "monotonic", lambda: 120.0)
    assert core_wait.share() == share


def test_without_the_counters_of_the_kernel_nothing_is_inconclusive(tmp_path):
    core_wait = CoreWait(tmp_path / "missing")
    time.sleep(0.001)
    assert core_wait.share() == 0.0


@pytest.mark.parametrize(("share", "status"), [(0.5, 1), (0.51, 2)])
def test_unanswered_calls_never_pass(share, status):
    ledger = Ledger()
    ledger.record_unanswered(["unanswered"], share)
    result = SoakResult(1, (), tuple(ledger.violations), tuple(ledger.inconclusive))
    assert result.exit_status == status
    assert any("unanswered" in line for line in result.lines())


def test_only_calls_without_an_answer_count_as_unanswered(monkeypatch):
    answers = {
        "/a": (0, {}),
        "/b": (503, {}),
        "/c": (404, {}),
        "/d": (200, {"state": "running"}),
        "/e": (200, {"state": "completed"}),
    }
    monkeypatch.setattr(
        Callers, "call", lambda _self, _method, path, instance: answers[path]
    )
    ledger = Ledger(accepted={path[1:] for path in answers})
    deployment = SimpleNamespace(instances=[SimpleNamespace(name="n0")], ledger=ledger)
    callers = Callers(deployment, None, {path[1:]: path for path in answers})
    unanswered, wrong = callers.find_not_final()
    assert sorted(line.split(" about ")[1][0] for line in unanswered) == ["a", "b"]
    assert sorted(line.split(" about ")[1][0] for line in wrong) == ["c", "d"]
