"""The desired state of the whole fleet in one file: comparison and application."""

from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.state.changes import (
    Change,
    Edit,
    apply_change,
    replaced_entities,
)
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.desired import (
    Desired,
    describe_edit,
    desired_of,
    edit_towards,
)
from heatherhatch_core.state.entities import Pool, Team

names = st.sampled_from("abcd")
teams = st.builds(Team, names, st.sampled_from((1.0, 2.0)), st.integers(0, 3))
pools = st.builds(Pool, names, st.just(0))
desired_states = st.builds(
    Desired,
    pools=st.lists(pools, unique_by=lambda item: item.name).map(tuple),
    teams=st.lists(teams, unique_by=lambda item: item.name).map(tuple),
)


def apply_edit(config, edit):
    change = Change(
        config.seq + 1, "id", "me", "", 0.0, edit, replaced_entities(config, edit)
    )
    return apply_change(config, change)


@given(desired_states, desired_states)
def test_desired_with_prune_is_reached_and_needs_no_further_edit(first, second):
    config = apply_edit(Configuration(), edit_towards(Configuration(), first, True))
    after = apply_edit(config, edit_towards(config, second, True))
    assert set(desired_of(after).teams) == set(second.teams)
    assert set(desired_of(after).pools) == set(second.pools)
    assert edit_towards(after, second, True) == Edit()


@given(desired_states, desired_states)
def test_desired_without_prune_removes_nothing(first, second):
    config = apply_edit(Configuration(), edit_towards(Configuration(), first, True))
    after = apply_edit(config, edit_towards(config, second, False))
    assert set(config.teams) <= set(after.teams)


def test_desired_description_names_the_changed_fields():
    config = apply_edit(Configuration(), Edit(teams=(Team("a", 1.0, 4),)))
    edit = edit_towards(config, Desired(teams=(Team("a", 1.0, 8),)), False)
    assert describe_edit(config, edit) == ["~ team a: limit 4 -> 8"]


def test_changes_keep_replaced_entities():
    config = apply_edit(Configuration(), Edit(teams=(Team("a", 1.0, 4),)))
    assert replaced_entities(config, Edit(teams=(Team("a", 1.0, 8),))).teams == (
        Team("a", 1.0, 4),
    )
