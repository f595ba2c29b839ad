"""Time slots: each slot belongs to one node, and no node waits longer than a round."""

from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.coordination.time_slots import next_slot_in_s

MEMBERS = st.integers(1, 12)
SLOTS = st.integers(0, 10**9)


@given(MEMBERS, SLOTS, st.floats(0.0, 0.99))
def test_each_slot_belongs_to_one_node(members, slot, fraction):
    now_s = slot + fraction
    starts = [
        now_s + next_slot_in_s(now_s, 1.0, rank, members) for rank in range(members)
    ]
    start_slots = sorted(round(start) for start in starts)
    assert start_slots == [slot + 1 + item for item in range(members)]


@given(MEMBERS, SLOTS, st.integers(0, 11))
def test_a_node_gets_a_slot_again_after_one_round(members, slot, rank):
    first_start_s = slot + next_slot_in_s(slot, 1.0, rank % members, members)
    wait_s = next_slot_in_s(first_start_s, 1.0, rank % members, members)
    assert wait_s == members
