"""State and coordination logic of heatherhatch, without sockets or clocks."""
