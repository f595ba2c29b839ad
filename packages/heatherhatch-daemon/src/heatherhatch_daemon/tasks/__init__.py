"""Long-lived greenlets, each of which owns its state and sockets."""
