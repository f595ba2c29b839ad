"""Experiments in virtual time give the same result for the same file.

Guards against policies compared on different days, and against misspelt fields of an
experiment file that silently change nothing.
"""

from pathlib import Path

import pytest
from bench.turns import experiments
from bench.turns.plan import PlanError, read_plan
from bench.turns.runner import Day, list_days, play_day
from bench.turns.summary import (
    format_row,
    markdown_table,
    paired_difference,
    summarize,
)

PLAN = """
seeds: 2
variants:
  all: {}
  no copies: {gates: {copies: false}}
fleets:
  small:
    base: narrow
    fields: {load_s: 6.0, completion_s: 8.0}
    faults: [{kind: crash, at_s: 3.0, for_s: 2.0, share: 0.2}]
faults: [{kind: store, at_s: 1.0, for_s: 1.0}]
"""


@pytest.fixture
def plan_file(tmp_path):
    def write(text):
        path = tmp_path / "plan.yaml"
        path.write_text(text)
        return path

    return write


def test_variants_are_compared_on_the_same_days(plan_file):
    plan = read_plan(plan_file(PLAN))
    days = list_days(plan)
    assert len(days) == 4
    results = [play_day(plan, day) for day in days]
    assert play_day(plan, Day("small", "all", 1)).worth == results[0].worth
    rows = summarize(results)
    assert [(row.fleet, row.variant) for row in rows] == [
        ("small", "all"),
        ("small", "no copies"),
    ]
    assert rows[0].worth is None
    assert "machine-s" in format_row(rows[1])
    assert len(markdown_table(rows).splitlines()) == 2 + len(rows)


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ("narrow", "narow", 'at "fleets.small"'),
        ("load_s", "load_ms", 'at "fleets.small"'),
        ("copies: false", "copy: false", 'at "variants.no copies"'),
        ("kind: store", "kind: stoer", r"\$.faults\[0\].kind"),
        ("seeds: 2", "seed: 2", "unknown field `seed`"),
        ("seeds: 2", "seeds: 1", '"seeds" is below 2'),
    ],
)
def test_an_error_names_the_place_in_the_file(plan_file, old, new, place):
    with pytest.raises(PlanError, match=place):
        read_plan(plan_file(PLAN.replace(old, new, 1)))


def test_a_difference_that_varies_around_zero_is_not_significant():
    base = [0.5, 0.6, 0.55, 0.65]
    assert not paired_difference([0.51, 0.59, 0.56, 0.64], base).is_significant
    clear = paired_difference([0.6, 0.71, 0.65, 0.74], base)
    assert clear.is_significant
    assert clear.low < 0.1 < clear.high


@pytest.mark.parametrize("name", ["ablation", "outage", "turns"])
def test_the_files_in_the_repository_are_valid(name):
    read_plan(Path(experiments.__file__).parent / f"{name}.yaml")
