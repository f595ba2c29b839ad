"""Turns: one node looks in each slot, and none waits for more than a round."""

from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.coordination.time_slots import next_slot_in_s

MEMBERS = st.integers(1, 12)
SLOTS = st.integers(0, 10**9)


@given(MEMBERS, SLOTS, st.floats(0.0, 0.99))
def test_turns_give_each_slot_to_one_node(members, slot, part):
    now_s = slot + part
    starts = [
        now_s + next_slot_in_s(now_s, 1.0, rank, members) for rank in range(members)
    ]
    found = sorted(round(start) for start in starts)
    assert found == [slot + 1 + item for item in range(members)]


@given(MEMBERS, SLOTS, st.integers(0, 11))
def test_turns_come_again_after_one_round(members, slot, rank):
    first = slot + next_slot_in_s(slot, 1.0, rank % members, members)
    again = next_slot_in_s(first, 1.0, rank % members, members)
    assert again == members
