"""Sockets and clients: the only layer that touches the network."""
