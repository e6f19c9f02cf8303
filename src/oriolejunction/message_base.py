"""Base of the messages between the system's own processes."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of messages that may be members of a union."""
