"""The heatherhatchd daemon."""
