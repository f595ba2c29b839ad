"""What the system knows: entities, changes and the configuration they fold into."""
