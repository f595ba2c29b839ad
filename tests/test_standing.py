"""Standing of a node, and positions of the log that are in force everywhere.

The tests guard against a node that acts on a configuration that other nodes have
already replaced, and against a node that reports a position in force too early.
"""

import pytest

from heatherhatch_core.coordination.standing import (
    Confirmed,
    PeerAnswered,
    PeerEvidence,
    PeerLeft,
    Standing,
    ViewDropped,
    ViewRead,
    advance,
    confirmation_from_peer,
    position_status,
)
from heatherhatch_core.state.nodes import NodeEntry

PERIOD_S = 2.0
OWN = NodeEntry("a", "a1", "127.0.0.1:1", "dc-1")
PEERS = tuple(NodeEntry(n, f"{n}1", "127.0.0.1:1", "dc-1") for n in "bc")


@pytest.fixture
def registered():
    return advance(ViewRead("a", (OWN, *PEERS), 0.0), Standing(PERIOD_S), 0.0)


def answer(name, sent_s, lost=True, seq=5, incarnation=""):
    evidence = PeerEvidence(incarnation or f"{name}1", sent_s, lost, seq)
    return PeerAnswered(name, evidence)


def test_standing_counts_from_the_time_of_the_request(registered):
    state = advance(Confirmed(10.0), registered, 11.5)
    assert state.may_act(11.9, 5)
    assert not state.may_act(12.0, 5)


def test_standing_needs_a_registration(registered):
    unregistered = advance(Confirmed(10.0), Standing(PERIOD_S), 10.0)
    assert not unregistered.may_act(10.1, 5)
    registered_later = advance(ViewRead("a", (OWN, *PEERS), 10.2), unregistered, 10.2)
    assert not registered_later.may_act(10.3, 5), (
        "the log was read before the registration"
    )
    assert not advance(ViewDropped(), registered, 10.0).may_act(10.0, 5)


def test_standing_lasts_while_every_peer_has_lost_the_store(registered):
    state = advance(answer("b", 10.0), registered, 10.1)
    assert not state.may_act(10.2, 5), "one peer has not answered"
    state = advance(answer("c", 10.5), state, 10.6)
    assert state.may_act(11.9, 5)
    assert not state.may_act(11.9, 4), "the peers have a later position"
    assert not state.may_act(12.0, 5), "the first answer has expired"


@pytest.mark.parametrize(
    "last",
    [answer("c", 10.5, lost=False), answer("c", 10.5, incarnation="c2")],
    ids=["reaches the store", "another incarnation"],
)
def test_standing_is_lost_if_one_peer_does_not_confirm_the_outage(registered, last):
    state = advance(answer("b", 10.0), registered, 10.1)
    state = advance(last, state, 10.6)
    assert not state.may_act(10.7, 5)


def test_standing_needs_no_answer_from_a_peer_that_left(registered):
    state = advance(answer("b", 10.0), registered, 10.1)
    final_evidence = PeerEvidence("c1", 5.0, True, 5)
    after = advance(PeerLeft("c", final_evidence), state, 10.1)
    assert after.may_act(10.2, 5)
    assert not after.may_act(10.2, 4), "the peer that left had a later position"
    restarted = NodeEntry("c", "c2", "127.0.0.1:1", "dc-1")
    after = advance(ViewRead("a", (OWN, PEERS[0], restarted)), after, 10.2)
    assert not after.may_act(10.3, 5), "the peer is back under another incarnation"


def test_standing_ignores_an_answer_to_an_earlier_request(registered):
    state = advance(answer("b", 10.0, lost=False), registered, 10.1)
    state = advance(answer("b", 9.0, lost=True), state, 10.2)
    assert not state.peers["b"].lost


def test_standing_adds_the_age_of_a_peers_evidence(registered):
    state = advance(confirmation_from_peer(10.0, 1.0), registered, 10.1)
    assert 1.0 < state.age_s(10.0) < 1.1
    state = advance(confirmation_from_peer(10.0, float("inf")), state, 10.1)
    assert state.age_s(10.0) < 1.1


def test_standing_accepts_changes_one_period_after_an_outage(registered):
    state = advance(Confirmed(10.0), registered, 10.0)
    for now in (10.8, 11.6):
        state = advance(Confirmed(now), state, now)
    assert not state.may_accept_changes(11.9)
    assert advance(Confirmed(12.1), state, 12.1).may_accept_changes(12.1)
    late = advance(Confirmed(13.0), state, 13.0)
    assert late.lost(13.0) is False
    assert not late.may_accept_changes(13.0), (
        "the node had reported that the store is lost"
    )


def test_standing_reports_positions_in_force(registered):
    state = advance(answer("b", 10.0), registered, 10.1)
    early = position_status(state, 5, 9.0, 10.1)
    assert (early.everywhere, early.confirmed, early.missing) == (False, ("b",), ("c",))
    assert 0 < early.wait_s < PERIOD_S
    assert position_status(state, 5, 9.0, 11.1).everywhere, "c has lost its standing"
    state = advance(answer("c", 10.0), state, 10.1)
    assert not position_status(state, 5, 9.0, 10.1).everywhere, (
        "the view was read earlier"
    )
    state = advance(ViewRead("a", (OWN, *PEERS), 9.5), state, 10.1)
    assert position_status(state, 5, 9.0, 10.1).everywhere
    assert not position_status(state, 5, float("inf"), 99.0).everywhere
