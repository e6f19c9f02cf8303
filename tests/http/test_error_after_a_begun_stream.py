"""A stream that broke off, and an error in place of its rest."""

import asyncio

import aiohttp
import pytest

from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

ERROR_TEXT = b'{"error": "out of memory"}'
ERROR_EVENT = b"event: error\ndata: out of memory\n\n"


def error_with_length(arrival):
    arrival.answer(ERROR_TEXT, "500 Internal Server Error")


def chunked_error(arrival):
    arrival.writer.write(
        arrival.head("500 Broken", b"Transfer-Encoding: chunked\r\n")
    )
    arrival.chunk(ERROR_EVENT)
    arrival.end()


def unframed_error(arrival):
    arrival.writer.write(arrival.head("500 Broken") + ERROR_TEXT)
    arrival.writer.close()


def unsigned_error(arrival):
    arrival.writer.write(
        b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: %d\r\n\r\n%s"
        % (len(ERROR_TEXT), ERROR_TEXT)
    )


def unavailable(arrival):
    arrival.answer(ERROR_TEXT, "503 Busy")


def refusal(arrival):
    arrival.refuse(body=ERROR_TEXT)


def bad_request(arrival):
    arrival.answer(ERROR_TEXT, "400 Bad Request")


def unsigned_success(arrival):
    arrival.writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
        % (len(ERROR_TEXT), ERROR_TEXT)
    )


def text_as_success(arrival):
    arrival.answer(ERROR_TEXT)


def text_and_blank_line_as_success(arrival):
    arrival.answer(ERROR_TEXT + b"\n\n")


def error_event_as_success(arrival):
    arrival.begin()
    arrival.chunk(ERROR_EVENT)
    arrival.end()


def head_within_the_stream(arrival):
    arrival.begin()
    arrival.chunk(b"HTTP/1.1 500 Broken\r\nContent-Length: 26\r\n\r\n")
    arrival.chunk(ERROR_TEXT + b"\n\n")
    arrival.end()


FORMS = (
    error_with_length,
    chunked_error,
    unframed_error,
    unsigned_error,
    unavailable,
    refusal,
    bad_request,
    unsigned_success,
    text_as_success,
    text_and_blank_line_as_success,
    error_event_as_success,
    head_within_the_stream,
)


def begin_then(form, completes_at=None):
    """Break off the first attempt after three events; answer others so.

    The attempt with number `completes_at` completes the stream.
    """
    attempts = []

    async def behave(arrival):
        attempts.append(arrival)
        if len(attempts) == 1:
            arrival.begin()
            arrival.events((1, 2, 3))
            await arrival.writer.drain()
            arrival.writer.close()
        elif len(attempts) == completes_at:
            await streams.complete(arrival)
        else:
            form(arrival)

    return behave


async def received(request):
    """Return what a caller gets, and whether it looks complete."""
    body = bytearray()
    async with request as response:
        assert response.status == 200
        try:
            async for piece in response.content.iter_any():
                body += piece
        except aiohttp.ClientPayloadError:
            return bytes(body), False
    return bytes(body), True


@pytest.mark.parametrize("form", FORMS)
async def test_error_in_place_of_the_rest_reaches_no_caller(form):
    behave = begin_then(form)
    async with gateway_rig.running(llm=[behave] * 2) as rig:
        body, is_complete = await asyncio.wait_for(
            received(rig.ask("/brief/1")), 6
        )
    assert streams.ALL_EVENTS.startswith(body)
    assert not is_complete


@pytest.mark.parametrize("form", FORMS)
async def test_stream_goes_on_at_the_engine_after_an_error(form):
    behave = begin_then(form, completes_at=3)
    async with gateway_rig.running(llm=[behave] * 3) as rig:
        got = await asyncio.wait_for(received(rig.ask("/brief/1")), 6)
    assert got == (streams.ALL_EVENTS, True)
