"""The control client finds the leader and gives up in bounded time."""

import pytest

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import messages
from oriolejunction.peers import control_client
from oriolejunction.peers import methods

ADDRESS_BY_ID = {
    ids.InstanceId(name): f"{name}:1" for name in ("one", "two", "three")
}
RESULT = commands.Recorded()


class StepClock(clocks.ManualClock):
    """A clock that a sleep advances without waiting."""

    async def sleep_ms(self, duration_ms):
        self.advance(duration_ms)


class Client(control_client.ControlClient):
    """A client whose replicas give scripted replies."""

    def __init__(self, replies_by_address):
        self.clock = StepClock()
        super().__init__(ADDRESS_BY_ID, clock=self.clock)
        self.replies_by_address = replies_by_address
        self.called = []

    async def _try_one(self, address, method, request, timeout_ms):
        assert method is methods.PROPOSE
        self.called.append(address)
        self.clock.advance(50)
        replies = self.replies_by_address.get(address, [])
        return replies.pop(0) if replies else None


COMMAND = commands.AcceptDraft(
    ids.OperationId("accept:d-1"), ids.DraftId("d-1"), "operator", 0
)


async def test_hint_is_followed_and_remembered():
    hint = messages.ProposeReply(not_leader=True, leader_hint="four:1")
    accepted = messages.ProposeReply(result=RESULT)
    client = Client({"one:1": [hint], "four:1": [accepted, accepted]})
    assert await client.propose(COMMAND) == RESULT
    assert client.called == ["one:1", "four:1"]
    assert await client.propose(COMMAND) == RESULT
    assert client.called[2:] == ["four:1"]


async def test_circular_leader_hints_end_in_bounded_time():
    client = Client(
        {
            "one:1": [
                messages.ProposeReply(not_leader=True, leader_hint="two:1")
            ]
            * 1_000,
            "two:1": [
                messages.ProposeReply(not_leader=True, leader_hint="one:1")
            ]
            * 1_000,
        }
    )
    with pytest.raises(errors.Failure) as caught:
        await client.propose(COMMAND)
    assert isinstance(caught.value.error, errors.ControlUnavailable)
    limit_ms = control_client.PROPOSE_TIMEOUT_MS + 1_000
    assert client.clock.now_ms() <= limit_ms


async def test_command_without_an_answer_is_retried():
    accepted = messages.ProposeReply(result=RESULT)
    client = Client({"three:1": [None, None, accepted]})
    assert await client.propose(COMMAND) == RESULT
    assert client.called.count("three:1") == 3
