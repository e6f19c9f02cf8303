"""gRPC clients, services and transports between the system's processes."""
