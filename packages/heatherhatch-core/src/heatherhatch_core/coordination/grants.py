"""Grants: how much of a team's limit one node may spend."""


def even_grant(limit: int, nodes: tuple[str, ...], node: str) -> int:
    """Return a node's part of a limit that is divided evenly.

    The remainder goes to the first nodes by name, so that the parts of all
    nodes add up to the limit.

    Args:
        limit: Units that may run over the whole fleet.
        nodes: Names of all nodes, the asking one included.
        node: Name of the asking node.
    """
    ordered = sorted(nodes)
    if node not in ordered:
        return 0
    part, rest = divmod(limit, len(ordered))
    return part + (ordered.index(node) < rest)
