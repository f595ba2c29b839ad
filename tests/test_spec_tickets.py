"""Checks the specification of at-most-once execution.

The protocol must keep every invariant for tickets and for callers' own keys. Each
broken variant must violate the invariant that its missing rule protects; otherwise the
model would not detect that fault.
"""

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
def test_tickets_keep_every_invariant(tickets, kind):
    properties = tickets.check(kind)["properties"]
    assert {name: item["holds"] for name, item in properties.items()} == {
        "at_most_once": True,
        "not_run_is_correct": True,
    }


@pytest.mark.parametrize(
    ("variant", "kind", "invariant"),
    [
        ("restart_accepts_old", "ticket", "at_most_once"),
        ("claim_after_send", "caller", "at_most_once"),
        ("short_claim", "caller", "at_most_once"),
        ("no_age_check", "caller", "at_most_once"),
        ("outcome_dropped", "ticket", "at_most_once"),
        ("unchecked_refusal", "caller", "not_run_is_correct"),
    ],
)
def test_tickets_broken_variant_violates_its_invariant(
    tickets, variant, kind, invariant
):
    verdict = tickets.check(kind, variant)["properties"][invariant]
    assert verdict["holds"] is False
    assert verdict["counterexample"]
