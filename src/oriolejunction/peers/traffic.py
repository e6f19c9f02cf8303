"""Counts bytes and messages that this process exchanges with its peers."""

import collections.abc
import typing

import msgspec

Encode = collections.abc.Callable[[typing.Any], bytes]
Decode = collections.abc.Callable[[bytes], typing.Any]


class Traffic(msgspec.Struct):
    """Totals since the start of the process, without gRPC framing."""

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0


totals = Traffic()


def counted_encode(encode: Encode) -> Encode:
    """Wrap `encode` to count its output as sent."""

    def counted(message: typing.Any) -> bytes:
        data = encode(message)
        totals.bytes_sent += len(data)
        totals.messages_sent += 1
        return data

    return counted


def counted_decode(decode: Decode) -> Decode:
    """Wrap `decode` to count its input as received."""

    def counted(data: bytes) -> typing.Any:
        totals.bytes_received += len(data)
        totals.messages_received += 1
        return decode(data)

    return counted
