"""I/O shells for HTTP, towards callers, operators and back ends."""
