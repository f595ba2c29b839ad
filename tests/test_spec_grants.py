"""The specification of grants holds, and each broken variant breaks."""

import importlib.util
from pathlib import Path

import pytest

PATH = Path(__file__).parent.parent / "docs" / "spec" / "grants.py"


def load_spec():
    spec = importlib.util.spec_from_file_location("spec_grants", PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


SPEC = load_spec()


def test_spec_grants_sound_variant_holds():
    assert SPEC.check(SPEC.Variant.SOUND) == (True, [])


@pytest.mark.parametrize(
    "variant", [v for v in SPEC.Variant if v is not SPEC.Variant.SOUND]
)
def test_spec_grants_broken_variant_has_a_counterexample(variant):
    holds, steps = SPEC.check(variant)
    assert holds is False
    assert steps
