"""Orders are sent again until they are carried out, for a bounded time."""

import pytest

from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import operator_client


class SteppingClock(clocks.ManualClock):
    """A clock that each sleep moves on by itself."""

    async def sleep_ms(self, duration_ms):
        self.advance(duration_ms)


def _order(failures):
    sent = []

    async def order():
        sent.append(1)
        if len(sent) <= failures:
            raise errors.Failure(operator_client.OperatorError("not yet"))
        return {"sent": len(sent)}

    return order


async def test_order_is_sent_until_carried_out():
    reply = await operator_client.retry_until_done(_order(3), SteppingClock())
    assert reply == {"sent": 4}


async def test_order_is_given_up_after_the_timeout():
    clock = SteppingClock()
    with pytest.raises(errors.Failure):
        await operator_client.retry_until_done(_order(10**6), clock, 1_000)
    assert 1_000 <= clock.now_ms() < 2_000
