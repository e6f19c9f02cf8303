"""A silent engine's attempt stays open until another engine takes over."""

import asyncio
import types

import pytest

from oriolejunction.controllers import dispatcher as dispatchers
from oriolejunction.controllers import generation_runner
from oriolejunction.controllers import loss_policy
from oriolejunction.controllers.overload import retry_budget
from oriolejunction.controllers import route_request
from oriolejunction import errors
from oriolejunction import states
from tests.controllers import test_generation_runner as runner_tests

COMPLETE = runner_tests.COMPLETE
ENGINES = runner_tests.ENGINES
FOREVER_MS = 90_000
both_policies = pytest.mark.parametrize(
    "policy", [loss_policy.EARLY, loss_policy.THRIFT]
)


def _harness(faults, policy, engines=ENGINES):
    return runner_tests.RunnerHarness(faults, policy, engines)


def _grant_once(harness):
    harness.may_grant = lambda: harness.granted == 0


# The attempt was ended before another engine was known: `generation_lost`.
@both_policies
async def test_paused_engine_completes_what_no_other_can_take(policy):
    harness = _harness({"e0": (20, 2_000)}, policy)
    _grant_once(harness)
    assert await harness.run() == COMPLETE
    assert len(harness.engines.requests) == 1
    assert harness.losses == []
    assert [stall.engine_id for stall in harness.stalls] == ["e0"]
    assert harness.counter("false_suspicions") == 1


# The whole work was sent again to the engine that was still doing it.
@both_policies
async def test_paused_only_engine_is_not_sent_the_generation_again(policy):
    harness = _harness({"e0": (20, 2_000)}, policy, ENGINES[:1])
    assert await harness.run() == COMPLETE
    assert len(harness.engines.requests) == harness.granted == 1


# A pause before the first token has limits of its own.
@both_policies
async def test_pause_before_the_first_token_is_not_a_loss(policy):
    harness = _harness({"e0": (0, 2_500)}, policy, ENGINES[:1])
    assert await harness.run() == COMPLETE
    assert len(harness.engines.requests) == 1


# The search was made once; an engine that came free later was not asked.
@both_policies
async def test_search_is_repeated_until_an_engine_comes_free(policy):
    harness = _harness({"e0": (20, FOREVER_MS)}, policy)
    harness.may_grant = lambda: (
        harness.granted == 0 or harness.clock.now_ms() > 5_000
    )
    assert await harness.run() == COMPLETE
    assert [e for e, _ in harness.engines.requests] == ["e0", "e1"]
    assert harness.granted == 2
    assert [loss.cause for loss in harness.losses] == [states.LossCause.SILENT]
    assert harness.losses[0].at_ms > 5_000
    assert harness.longest_gap_ms < 6_000


# An engine that never continues must not hold the caller for ever.
@both_policies
async def test_search_ends_at_the_ceiling_of_the_policy(policy):
    harness = _harness({"e0": (20, FOREVER_MS)}, policy)
    _grant_once(harness)
    with pytest.raises(errors.Failure) as raised:
        await harness.run()
    assert isinstance(raised.value.error, errors.GenerationLost)
    ceiling_ms = policy.search_ceiling_ms
    assert ceiling_ms < harness.clock.now_ms() < ceiling_ms + 3_000


# A lost connection proves that the attempt is over, whatever its silence.
@both_policies
async def test_stalled_attempt_ends_when_its_connection_breaks(policy):
    fault = (2_000, states.LossCause.DISCONNECTED)
    harness = _harness({"e0": (20, fault)}, policy, ENGINES[:1])
    harness.engines.resumable = False
    assert await harness.run() == COMPLETE
    assert len(harness.engines.requests) == 2
    assert harness.longest_gap_ms < 2_500


# THRIFT pays for one attempt at a time, EARLY for two.
@pytest.mark.parametrize(
    "policy, most_open", [(loss_policy.EARLY, 2), (loss_policy.THRIFT, 1)]
)
async def test_silent_engines_do_not_add_up_attempts(policy, most_open):
    faults = {"e0": (20, FOREVER_MS), "e1": (20, FOREVER_MS)}
    harness = _harness(faults, policy)
    assert await harness.run() == COMPLETE
    assert [e for e, _ in harness.engines.requests] == ["e0", "e1", "e2"]
    assert harness.engines.most_open == most_open
    assert len(harness.losses) == 2
    assert harness.granted == 3


# The owner keeps its right to append until the contender has produced.
async def test_first_attempt_wins_if_both_paused_and_it_continues_first():
    faults = {"e0": (20, 2_000), "e1": (20, 3_000)}
    harness = _harness(faults, loss_policy.EARLY, ENGINES[:2])
    assert await harness.run() == COMPLETE
    assert len(harness.engines.requests) == harness.granted == 2
    assert 1 not in harness.engines.cancelled


# A caller that leaves during a search left the search behind.
@both_policies
async def test_cancellation_during_a_search_leaves_no_task(policy):
    harness = _harness({"e0": (20, FOREVER_MS)}, policy)
    choose = harness.deps.choose_engine
    searching = asyncio.Event()

    async def choose_or_hang(route):
        if harness.granted == 0:
            return await choose(route)
        searching.set()
        return await asyncio.Event().wait()

    object.__setattr__(harness.deps, "choose_engine", choose_or_hang)
    before = asyncio.all_tasks()
    deliveries = generation_runner.run(harness.generation, harness.deps)

    async def read():
        async for _ in deliveries:
            pass

    reading = asyncio.create_task(read())
    while not searching.is_set():
        for _ in range(12):
            await asyncio.sleep(0)
        harness.clock.advance(runner_tests.STEP_MS)
    assert harness.engines.cancelled == []
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    await deliveries.aclose()
    assert asyncio.all_tasks() == before
    assert harness.engines.cancelled == [1]


# A search that lasts for seconds kept the gate from admitting requests.
@pytest.mark.parametrize("repeated, waiting", [(False, 1), (True, 0)])
async def test_repeated_search_does_not_hold_up_new_requests(
    repeated, waiting
):
    class Waiting(dispatchers.Dispatcher):
        async def _wait_for_engine(self, route):
            seen.append(self.waiting_continuations)

    seen = []
    harness = _harness({}, loss_policy.THRIFT)
    route = route_request.route_of(
        harness.generation, frozenset(), True, repeated
    )
    deps = types.SimpleNamespace(retries=retry_budget.RetryBudget())
    dispatcher = Waiting(deps)
    assert await dispatcher.choose(route) is None
    assert seen == [waiting]
    assert dispatcher.waiting_continuations == 0


@both_policies
async def test_search_after_one_in_vain_is_marked_as_repeated(policy):
    harness = _harness({"e0": (20, 2_000)}, policy, ENGINES[:1])
    choose = harness.deps.choose_engine
    routes = []

    async def record(route):
        routes.append(route)
        return await choose(route)

    object.__setattr__(harness.deps, "choose_engine", record)
    assert await harness.run() == COMPLETE
    first, search, *repeated = [route.repeated for route in routes]
    assert not first and not search
    assert repeated and all(repeated)
