"""Checks the specification of the drain of a worker.

The protocol must keep every invariant. Each broken variant must violate the invariant
that its missing rule protects; otherwise the model would not detect that fault.
"""

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


def test_drain_keeps_every_invariant(drain):
    properties = drain.check()["properties"]
    assert {name: item["holds"] for name, item in properties.items()} == {
        "budget": True,
        "no_send_after_release": True,
        "no_interrupted_request": True,
    }


@pytest.mark.parametrize(
    ("variant", "invariant"),
    [
        ("no_cas", "budget"),
        ("no_confirmation", "no_send_after_release"),
        ("no_wait", "no_interrupted_request"),
        ("stale_confirmation", "no_send_after_release"),
    ],
)
def test_drain_broken_variant_violates_its_invariant(drain, variant, invariant):
    verdict = drain.check(variant)["properties"][invariant]
    assert verdict["holds"] is False
    assert verdict["counterexample"]
