"""The specification of at most once holds, and each broken variant does not."""

import importlib.util
from pathlib import Path

import pytest

PATH = Path(__file__).parents[1] / "docs" / "spec" / "tickets.py"


@pytest.fixture(scope="module")
def tickets():
    spec = importlib.util.spec_from_file_location("spec_tickets", PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize("kind", ["ticket", "caller"])
def test_tickets_keep_every_promise(tickets, kind):
    properties = tickets.check(kind)["properties"]
    assert {name: item["holds"] for name, item in properties.items()} == {
        "at_most_once": True,
        "not_run_is_true": True,
    }


@pytest.mark.parametrize(
    ("broken", "kind", "promise"),
    [
        ("restart_accepts", "ticket", "at_most_once"),
        ("claim_after_send", "caller", "at_most_once"),
        ("short_claim", "caller", "at_most_once"),
        ("no_age_check", "caller", "at_most_once"),
        ("forgetful", "ticket", "at_most_once"),
        ("blind_refusal", "caller", "not_run_is_true"),
    ],
)
def test_tickets_lose_a_promise_when_broken(tickets, broken, kind, promise):
    verdict = tickets.check(kind, broken)["properties"][promise]
    assert verdict["holds"] is False
    assert verdict["counterexample"]
