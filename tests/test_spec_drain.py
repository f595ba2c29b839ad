"""The specification of the drain holds, and each broken variant does not."""

import importlib.util
from pathlib import Path

import pytest

PATH = Path(__file__).parents[1] / "docs" / "spec" / "drain.py"


@pytest.fixture(scope="module")
def drain():
    spec = importlib.util.spec_from_file_location("spec_drain", PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_drain_keeps_every_promise(drain):
    properties = drain.check()["properties"]
    assert {name: item["holds"] for name, item in properties.items()} == {
        "budget": True,
        "no_late_send": True,
        "no_cut": True,
    }


@pytest.mark.parametrize(
    ("broken", "promise"),
    [
        ("no_cas", "budget"),
        ("no_confirmation", "no_late_send"),
        ("no_wait", "no_cut"),
        ("stale_confirmation", "no_late_send"),
    ],
)
def test_drain_loses_a_promise_when_broken(drain, broken, promise):
    verdict = drain.check(broken)["properties"][promise]
    assert verdict["holds"] is False
    assert verdict["counterexample"]
