"""Mixed traffic with checked results: streams, orders, configuration."""

import asyncio
import collections
import dataclasses
import random

import msgspec

from oriolejunction.bench import resilient_client
from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import local_deployment
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.standin import chain

SHORTEST_TOKENS = 10
LONGEST_TOKENS = 600
CHANGE_INTERVAL_MS = 2_000
ORDER_INTERVAL_MS = 100
OPERATOR_NAMES = ("first", "second")


@dataclasses.dataclass
class TrafficStats:
    """Results as the callers and operators observed them."""

    count_by_end: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    error_codes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    tokens: int = 0
    resends: int = 0
    broken_answers: list[str] = dataclasses.field(default_factory=list)
    orders: list[resilient_client.OrderRecord] = dataclasses.field(
        default_factory=list
    )
    accepted_revisions: list[int] = dataclasses.field(default_factory=list)
    conflicts: int = 0


class MixedTraffic:
    """Traffic of the callers and operators of one deployment."""

    def __init__(
        self,
        addresses: local_deployment.Addresses,
        answers: answer_files.Answers,
        seed: int,
        clock: clocks.Clock,
    ) -> None:
        self.stats = TrafficStats()
        self._addresses = addresses
        self._answers = answers
        self._rng = random.Random(seed)
        self._clock = clock
        self._clients = [
            resilient_client.ResilientClient(
                addresses.callers_urls, key, self._rng, clock
            )
            for key in addresses.workspace_keys.values()
        ]
        self._request_count = 0

    async def run(self, until: asyncio.Event, streams: int) -> None:
        """Run `streams` concurrent streams, orders and configuration changes.

        Each worker starts no new request once `until` is set.
        """
        workers = [self._stream_answer] * streams
        workers += [self._send_order, self._submit_racing_changes]
        async with asyncio.TaskGroup() as group:
            for worker in workers:
                group.create_task(resilient_client.repeat_until(worker, until))
        for client in self._clients:
            await client.close()

    async def _stream_answer(self) -> None:
        self._request_count += 1
        length = self._rng.randint(SHORTEST_TOKENS, LONGEST_TOKENS)
        sampled = self._rng.random() < 0.5
        prompt = f"request {self._request_count} [[length={length}]]"
        body = {
            "model": local_deployment.MODEL,
            "prompt": prompt,
            "max_tokens": 2 * length,
            "temperature": 0.7 if sampled else 0.0,
        }
        answer = await self._rng.choice(self._clients).stream(body)
        self._check_answer(answer, prompt, length, sampled)

    def _check_answer(
        self,
        answer: resilient_client.Answer,
        prompt: str,
        length: int,
        sampled: bool,
    ) -> None:
        stats = self.stats
        stats.count_by_end[answer.end.value] += 1
        stats.resends += answer.sends - 1
        if answer.error_code is not None:
            stats.error_codes[answer.error_code] += 1
        check = chain.check_text(
            answer.text, local_deployment.MODEL_VERSION, "", prompt, sampled
        )
        stats.tokens += check.tokens
        finished = answer.end is resilient_client.AnswerEnd.FINISHED
        complete = check.complete and check.tokens == length
        corrupt = check.wrong_offset is not None
        if corrupt or finished and not complete:
            stats.broken_answers.append(f"{prompt}: {answer.end} {check}")

    async def _send_order(self) -> None:
        record = resilient_client.OrderRecord(
            f"order-{self._rng.randrange(1 << 62):x}"
        )
        self.stats.orders.append(record)
        path = f"/services/{local_deployment.SERVICE}/orders"
        await self._rng.choice(self._clients).send_order(path, record)
        await self._clock.sleep_ms(ORDER_INTERVAL_MS)

    async def _submit_racing_changes(self) -> None:
        shares = self._rng.sample(range(1, 1_000_000), len(OPERATOR_NAMES))
        async with asyncio.TaskGroup() as group:
            for share in shares:
                group.create_task(self._submit_change(share))
        await self._clock.sleep_ms(CHANGE_INTERVAL_MS)

    async def _submit_change(self, share: int) -> None:
        first, *others = self._answers.workspaces
        first = msgspec.structs.replace(first, share=share)
        answers = msgspec.structs.replace(
            self._answers, workspaces=(first, *others)
        )
        client = operator_client.OperatorClient(
            self._rng.choice(self._addresses.operators_urls),
            self._addresses.operator_token,
        )
        text = answer_files.dump(answer_files.redact_keys(answers))
        try:
            draft = await client.submit(text)
            reply = await client.accept(draft["draft_id"])
            self.stats.accepted_revisions.append(reply["revision"])
        except errors.Failure:
            self.stats.conflicts += 1


def find_violations(
    stats: TrafficStats, runs_by_key: collections.Counter
) -> list[str]:
    """Return a description of each violated guarantee."""
    violations = [f"broken answer: {text}" for text in stats.broken_answers]
    for record in stats.orders:
        runs = runs_by_key[record.key]
        if runs > 1:
            violations.append(f"{record.key} ran {runs} times")
        reported_not_run = record.not_run == record.sends
        if reported_not_run and runs:
            violations.append(
                f"{record.key} ran although each answer said not run"
            )
        if record.answered and not runs:
            violations.append(f"{record.key} was answered but did not run")
    for revision, count in collections.Counter(
        stats.accepted_revisions
    ).items():
        if count > 1:
            violations.append(
                f"revision {revision} was accepted {count} times"
            )
    return violations
