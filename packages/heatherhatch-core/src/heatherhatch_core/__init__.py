"""State and coordination logic of heatherhatch, free of I/O and clocks."""
