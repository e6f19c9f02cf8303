"""Stand-ins of the platform, the operator, clients and servers."""
