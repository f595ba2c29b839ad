"""Transitions of workers that operators may record."""

import pytest

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.changes import Change, Edit, apply_change
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import (
    Assignment,
    Cause,
    Pool,
    Worker,
    WorkerState,
)
from heatherhatch_daemon.protocol.fleet import check_operator_steps


@pytest.fixture
def fleet():
    edit = Edit(
        pools=(Pool("a", 0),),
        workers=(Worker("w1", "fd", "r", "127.0.0.1:1", "a"),),
    )
    return apply_change(Configuration(), Change(1, "", "", "", 0.0, edit))


def record(fleet, state, cause=Cause.OPERATOR):
    edit = Edit(assignments=(Assignment("w1", "a", state, cause, replaces=0),))
    check_operator_steps(fleet, edit)
    return apply_change(fleet, Change(fleet.seq + 1, "", "", "", 0.0, edit))


def test_fleet_allows_operators_to_drain_and_return(fleet):
    for state in (WorkerState.DRAINING, WorkerState.SERVING, WorkerState.FAILED):
        record(fleet, state)


def test_fleet_forbids_operators_to_end_a_drain(fleet):
    fleet = record(fleet, WorkerState.DRAINING)
    with pytest.raises(HeatherhatchError) as caught:
        record(fleet, WorkerState.DRAINED)
    assert caught.value.kind is ErrorKind.FORBIDDEN


def test_fleet_forbids_operators_to_release_a_failed_worker(fleet):
    fleet = record(fleet, WorkerState.FAILED, Cause.FAILURE)
    with pytest.raises(HeatherhatchError) as caught:
        record(fleet, WorkerState.MAINTENANCE)
    assert caught.value.kind is ErrorKind.FORBIDDEN
