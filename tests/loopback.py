"""Loopback addresses of the nodes that tests start.

All nodes listen on the same ports, so each has its own address in 127/8. Test
runs on one machine collide unless each has its own NODE_TEST_NETWORK, a number
from 0 to 99.
"""

import os

_NETWORK = int(os.environ.get("NODE_TEST_NETWORK", "0"))
SUBNET = f"127.{30 + _NETWORK}.7"
UNREACHABLE_SUBNET = f"127.{30 + _NETWORK}.9"
SOAK_NETWORK = f"127.{130 + _NETWORK}"


def node_address(number: int) -> str:
    """Return the IP address of a node."""
    return f"{SUBNET}.{number}"
