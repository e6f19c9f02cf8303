"""Operations are retried until they succeed, for a bounded time."""

import pytest

from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import operator_client


class SteppingClock(clocks.ManualClock):
    """A manual clock that each sleep advances."""

    async def sleep_ms(self, duration_ms):
        self.advance(duration_ms)


def _failing_operation(failures):
    sent = []

    async def operation():
        sent.append(1)
        if len(sent) <= failures:
            raise errors.Failure(operator_client.OperatorError("not yet"))
        return {"sent": len(sent)}

    return operation


async def test_operation_is_retried_until_it_succeeds():
    reply = await operator_client.retry_until_done(
        _failing_operation(3), SteppingClock()
    )
    assert reply == {"sent": 4}


async def test_last_failure_is_raised_after_the_timeout():
    clock = SteppingClock()
    with pytest.raises(errors.Failure):
        await operator_client.retry_until_done(
            _failing_operation(10**6), clock, 1_000
        )
    assert 1_000 <= clock.now_ms() < 2_000
