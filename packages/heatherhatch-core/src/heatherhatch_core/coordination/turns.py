"""Turns by which nodes share a look that each of them could take."""


def turn_in_s(wall_s: float, slot_s: float, rank: int, members: int) -> float:
    """Return the seconds from now to the start of a node's next turn.

    Time is cut into slots that go round the members by rank, so that one node
    looks in each slot. Where clocks differ, slots overlap or leave gaps, but
    nobody ever waits for more than one whole round.

    Args:
        wall_s: Seconds since the epoch by the node's own clock.
        slot_s: Length of a slot, seconds.
        rank: Position of the node in the order of names, from 0 on.
        members: Number of nodes.

    Returns:
        More than 0 and at most ``members * slot_s``.
    """
    slot = int(wall_s // slot_s)
    slots = (rank - slot - 1) % members + 1
    return (slot + slots) * slot_s - wall_s
