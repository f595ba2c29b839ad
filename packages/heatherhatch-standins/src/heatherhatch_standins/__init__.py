"""Stand-ins for the platform in development and tests; not part of the product."""
