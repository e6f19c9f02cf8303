"""Stand-ins for the outside systems: engines and plain services."""
