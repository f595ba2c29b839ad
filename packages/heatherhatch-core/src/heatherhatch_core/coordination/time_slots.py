"""Round-robin time slots for a check that any node could make."""


def next_slot_in_s(wall_s: float, slot_s: float, rank: int, members: int) -> float:
    """Return the time until the start of a node's next slot, seconds.

    Time is divided into slots that are assigned to the members in turn by rank, so
    that one node makes the check in each slot. If clocks differ, slots overlap or
    leave gaps, but no node waits for more than one full round.

    Args:
        wall_s: Seconds since the epoch by the node's own clock.
        slot_s: Length of a slot, seconds.
        rank: Position of the node in the order of names, starting at 0.
        members: Number of nodes.

    Returns:
        More than 0 and at most ``members * slot_s``.
    """
    slot = int(wall_s // slot_s)
    slots = (rank - slot - 1) % members + 1
    return (slot + slots) * slot_s - wall_s
