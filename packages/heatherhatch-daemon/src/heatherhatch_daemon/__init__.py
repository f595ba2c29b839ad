"""The heatherhatchd daemon: one entry process of heatherhatch."""
