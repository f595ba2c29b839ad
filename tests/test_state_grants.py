"""The record of a team's grants, whose sum must not exceed the team's limit."""

import pytest

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_core.state.grants import (
    GrantRecord,
    NodeGrant,
    with_jobs,
    with_node,
    without_node,
)

LIMIT = 10


@pytest.fixture
def record():
    return with_node(GrantRecord("red"), "a/1", NodeGrant(6, 2.0), LIMIT, 3)


def test_state_grants_are_unchanged_by_encoding_and_decoding(record):
    assert decode_json(encode_json(record), GrantRecord) == record


def test_state_grants_refuse_more_than_the_limit(record):
    assert with_jobs(record, 4, LIMIT).total == LIMIT
    with pytest.raises(HeatherhatchError):
        with_jobs(record, 5, LIMIT)
    with pytest.raises(HeatherhatchError):
        with_node(record, "b/1", NodeGrant(5, 2.0), LIMIT, 3)


def test_state_grants_refuse_growth_by_an_older_limit(record):
    lowered = with_node(record, "a/1", NodeGrant(1, 2.0), 4, 9)
    with pytest.raises(HeatherhatchError):
        with_node(lowered, "b/1", NodeGrant(6, 2.0), LIMIT, 8)
    with pytest.raises(HeatherhatchError):
        with_jobs(lowered, 6, LIMIT, 8)
    assert with_node(lowered, "a/1", NodeGrant(0, 2.0), LIMIT, 8).limit_seq == 9


def test_state_grants_may_shrink_above_a_lowered_limit(record):
    assert with_node(record, "a/1", NodeGrant(5, 2.0), 1, 4).total == 5
    running = with_jobs(record, 4, LIMIT)
    assert with_jobs(running, -1, 1).jobs == 3


def test_state_grants_keep_the_longest_run_time_bound(record):
    shorter = with_node(record, "a/1", NodeGrant(7, 0.5), LIMIT, 3)
    assert shorter.run_time_bound_of("a/1") == 2.0


def test_state_grants_release_all_units_of_a_node(record):
    assert without_node(record, "a/1").total == 0
