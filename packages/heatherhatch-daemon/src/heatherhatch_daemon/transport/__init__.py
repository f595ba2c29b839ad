"""Sockets, servers and clients: the only layer that uses the network."""
