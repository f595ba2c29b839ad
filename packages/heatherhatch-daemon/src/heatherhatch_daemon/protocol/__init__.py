"""HTTP resources, and messages between clients, nodes and the platform."""
