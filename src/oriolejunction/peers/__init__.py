"""I/O shells for gRPC between the processes of the system."""
