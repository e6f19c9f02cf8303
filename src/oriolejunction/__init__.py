"""Serving system for long generations on engines that fail."""

import os

# Read by grpcio when it is first imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
