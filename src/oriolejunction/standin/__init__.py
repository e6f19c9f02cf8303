"""Stand-ins for external systems: engines, plain services, platform."""
