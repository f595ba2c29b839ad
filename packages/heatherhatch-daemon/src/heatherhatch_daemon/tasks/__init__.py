"""Long-lived greenlets, each the owner of its state and sockets."""
