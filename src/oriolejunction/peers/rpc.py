"""Typed unary calls over gRPC with MessagePack bodies.

There are no generated stubs: a method is defined by its path, its request
type and its reply type.
"""

import collections.abc
import importlib
import typing

import grpc
import msgspec

from oriolejunction.peers import traffic

Request = typing.TypeVar("Request")
Reply = typing.TypeVar("Reply")

# An idle connection is pinged after this long; without an acknowledgement
# within the timeout it is reopened.
KEEPALIVE_MS = 1_000
KEEPALIVE_TIMEOUT_MS = 700
# Bounds the attempt to connect to a machine that may be gone.
CONNECT_TIMEOUT_MS = 500
# Short, so that a restarted peer is reached soon after it listens.
MAX_BACKOFF_MS = 300
# What a link of 3.75 Mbit/s carries that is three quarters full.
SLOW_LINK_BYTES_PER_S = 117_000.0

# For the first frames of a connection, which nodes send at once. Links that
# lose packets resend them within 3 s.
HANDSHAKE_TIMEOUT_MS = 5_000

CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", 64 << 20),
    ("grpc.max_send_message_length", 64 << 20),
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_reconnect_backoff_ms", MAX_BACKOFF_MS),
    ("grpc.use_local_subchannel_pool", 1),
)

SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", 64 << 20),
    ("grpc.max_send_message_length", 64 << 20),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.http2.max_ping_strikes", 0),
)


def server_options(max_connections: int) -> tuple[tuple[str, int], ...]:
    """Return the options of a server with a limit on its connections."""
    return (
        *SERVER_OPTIONS,
        ("grpc.max_allowed_incoming_connections", max_connections),
        ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    )


def transfer_timeout_s(timeout_s: float, byte_count: int) -> float:
    """Return the time limit of a call with a request of some size.

    `timeout_s` is the limit of a small one.
    """
    return timeout_s + byte_count / SLOW_LINK_BYTES_PER_S


class Method(msgspec.Struct, typing.Generic[Request, Reply], frozen=True):
    """A unary gRPC method between the system's processes."""

    service: str
    name: str
    request_type: type[Request]
    reply_type: type[Reply]

    @property
    def path(self) -> str:
        """Return the gRPC path."""
        return f"/oriolejunction.{self.service}/{self.name}"


Handler = collections.abc.Callable[[typing.Any], collections.abc.Awaitable]


StreamHandler = collections.abc.Callable[
    [grpc.aio.ServicerContext], collections.abc.Awaitable[None]
]


def add_methods(
    server: grpc.aio.Server,
    handler_by_method: dict[Method, Handler],
    stream_by_method: dict[Method, StreamHandler] | None = None,
) -> None:
    """Serve methods of one or more services on a server.

    The handler of a stream reads and writes its messages itself.
    """
    by_service: dict[str, dict[str, grpc.RpcMethodHandler]] = {}
    for method, handler in handler_by_method.items():
        by_service.setdefault(method.service, {})[method.name] = _rpc_handler(
            method, handler
        )
    for method, stream in (stream_by_method or {}).items():
        by_service.setdefault(method.service, {})[method.name] = (
            _stream_handler(method, stream)
        )
    server.add_generic_rpc_handlers(
        tuple(
            grpc.method_handlers_generic_handler(
                f"oriolejunction.{service}", handler_by_name
            )
            for service, handler_by_name in by_service.items()
        )
    )


def load_lazy_modules() -> None:
    """Import what asyncio and gRPC otherwise import while they are used.

    gRPC's threads run by then, and processes have crashed as they read files
    beside these.
    """
    importlib.import_module("concurrent.futures.thread")
    grpc.unary_unary_rpc_method_handler(None)


def _rpc_handler(method: Method, handler: Handler) -> grpc.RpcMethodHandler:
    async def behavior(request, context):
        return await handler(request)

    return grpc.unary_unary_rpc_method_handler(
        behavior,
        request_deserializer=_decoder(method.request_type),
        response_serializer=_encoder(),
    )


def _stream_handler(
    method: Method, handler: StreamHandler
) -> grpc.RpcMethodHandler:
    async def behavior(_, context):
        await handler(context)

    return grpc.stream_stream_rpc_method_handler(
        behavior,
        request_deserializer=_decoder(method.request_type),
        response_serializer=_encoder(),
    )


def _decoder(message_type: type) -> traffic.Decode:
    return traffic.counted_decode(msgspec.msgpack.Decoder(message_type).decode)


def _encoder() -> traffic.Encode:
    return traffic.counted_encode(msgspec.msgpack.Encoder().encode)


def open_stream(
    channel: grpc.aio.Channel, method: Method[Request, Reply]
) -> grpc.aio.StreamStreamCall:
    """Open a stream of `method` over `channel`."""
    return channel.stream_stream(
        method.path,
        request_serializer=_encoder(),
        response_deserializer=_decoder(method.reply_type),
    )()


def make_stub(
    channel: grpc.aio.Channel, method: Method[Request, Reply]
) -> collections.abc.Callable[..., collections.abc.Awaitable[Reply]]:
    """Return a stub that calls `method` over `channel`."""
    return channel.unary_unary(
        method.path,
        request_serializer=_encoder(),
        response_deserializer=_decoder(method.reply_type),
    )


def make_encoded_stub(
    channel: grpc.aio.Channel, method: Method[Request, Reply]
) -> collections.abc.Callable[..., collections.abc.Awaitable[Reply]]:
    """Return a stub for `method` whose requests are encoded already."""
    return channel.unary_unary(
        method.path,
        request_serializer=traffic.counted_encode(bytes),
        response_deserializer=_decoder(method.reply_type),
    )
