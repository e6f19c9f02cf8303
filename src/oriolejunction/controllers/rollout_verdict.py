"""Decides from counts whether the target of a rollout is good or bad.

Load pattern: some tens of requests reach the target while many more reach
the old versions, on several routes, during crashes of a zone's servers and
other faults that concern both. Each route and measure is compared with the
old versions in the same window of time, so what concerns both doesn't count.
Several windows are compared, since a version may turn bad late.

The test: given the old versions' answers, the number of bad ones among n
answers of the target has a beta-binomial distribution. The probability of as
many as seen, times the number of comparisons, is the score. A bad answer is a
failed one, or one that is slower than the old versions' by more than a factor
at the same quantile. Rates of errors are in docs/design/rollouts.md.
"""

import collections.abc
import dataclasses
import math

from oriolejunction.controllers import rollout_tally
from oriolejunction import states

# Below these scores the target is bad, or too suspicious for a move. The
# first is looked at some fifty times in a rollout, the second a few times.
BAD_SCORE = 2e-4
SUSPECT_SCORE = 0.1
# Before any answer, one answer in ten is expected to be bad, with the weight
# of five answers: no verdict comes from two or three alone.
PRIOR_BAD, PRIOR_GOOD = 0.5, 4.5
# The old versions' rates differ a little from the target's by chance of
# placement and time, so that more of their answers don't count as certainty.
# After the move they are from another time.
MAX_OLD_ANSWERS = 200.0
MAX_OLD_ANSWERS_MOVED = 120.0
# The target's answers count up to this many; it bounds the computation.
MAX_TARGET_ANSWERS = 300
# A smaller excess of bad answers is no fault that users notice.
MIN_EXCESS = 0.08
# Target servers see another load than the old ones, and buckets are coarse:
# only answers slower by more buckets than this are slow (1.5 per bucket).
SLOWER_BUCKETS = 1
SLOWER_BUCKETS_MOVED = 2
# Quantiles of the old latencies at which both versions are compared.
QUANTILES = (0.5, 0.9, 1.0)
MIN_OLD_LATENCIES = 5
# A route with less of the traffic doesn't hold up a move.
MAJOR_ROUTE_SHARE = 0.1
ANSWERS_WANTED = 8
ANSWERS_NEEDED = 2


@dataclasses.dataclass(frozen=True)
class RoutePair:
    """Counts of a route at the old versions and at the target."""

    old: rollout_tally.VersionCounts
    target: rollout_tally.VersionCounts


Window = dict[str, RoutePair]


@dataclasses.dataclass(frozen=True)
class Finding:
    """The comparison with the lowest score."""

    score: float = 1.0
    detail: str = "no difference"

    @property
    def verdict(self) -> states.RolloutVerdict:
        """Return what the score says; without a fault, UNDECIDED."""
        if self.score < BAD_SCORE:
            return states.RolloutVerdict.BAD
        if self.score < SUSPECT_SCORE:
            return states.RolloutVerdict.SUSPECT
        return states.RolloutVerdict.UNDECIDED


def answers(counts: rollout_tally.VersionCounts) -> int:
    """Return how many answers show whether they fail.

    A stream that has sent events counts before its end.
    """
    good = sum(counts.latencies.get(states.RolloutMeasure.ANSWER, ()))
    return max(counts.ended, counts.failed + good)


def compare(windows: collections.abc.Iterable[Window], moved: bool) -> Finding:
    """Return the worst finding over all windows, routes and measures.

    After the move there are no old answers in the same window; `moved` says
    that those of the time before are given.
    """
    worst = Finding()
    for window in windows:
        tests = max(1, len(window)) * (1 + len(QUANTILES) * 2) + 1
        for route, pair in window.items():
            for probability, detail in _route_tests(pair, moved):
                score = probability * tests
                if score < worst.score:
                    worst = Finding(score, f"route {route}: {detail}")
        probability, detail = _test_all_failures(window, moved)
        if probability * tests < worst.score:
            worst = Finding(probability * tests, detail)
    return worst


def missing_evidence(window: Window, wanted: float) -> str | None:
    """Return which route lacks answers of the target, None if none does."""
    sent = sum(pair.old.sent + pair.target.sent for pair in window.values())
    found = 0
    for route, pair in sorted(window.items()):
        route_sent = pair.old.sent + pair.target.sent
        count = answers(pair.target)
        found += count
        if route_sent >= MAJOR_ROUTE_SHARE * sent and count < wanted:
            return f"{count} answers on route {route}, {wanted:.0f} wanted"
    if found < wanted:
        return f"{found} answers in all, {wanted:.0f} wanted"
    return None


def _route_tests(
    pair: RoutePair, moved: bool
) -> collections.abc.Iterator[tuple[float, str]]:
    """Yield the probability and a description of each comparison."""
    count = answers(pair.target)
    old_count = answers(pair.old)
    yield (
        _probability(
            pair.target.failed, count, pair.old.failed, old_count, moved
        ),
        f"{pair.target.failed} of {count} failed,"
        f" {pair.old.failed} of {old_count} at old versions",
    )
    shift = SLOWER_BUCKETS_MOVED if moved else SLOWER_BUCKETS
    for measure in states.RolloutMeasure:
        old = pair.old.latencies.get(measure, ())
        target = pair.target.latencies.get(measure, ())
        old_total, total = sum(old), sum(target)
        if old_total < MIN_OLD_LATENCIES or not total:
            continue
        for quantile in QUANTILES:
            bucket = _quantile_bucket(old, quantile * old_total)
            slow_old = sum(old[bucket + 1 :])
            slow = sum(target[bucket + 1 + shift :])
            yield (
                _probability(slow, total, slow_old, old_total, moved),
                f"{slow} of {total} much slower than {old_total} at old"
                f" versions at quantile {quantile}, {measure.name}",
            )


def _test_all_failures(window: Window, moved: bool) -> tuple[float, str]:
    """Compare failures on all routes together, each with its own rate."""
    expected, failed, total = 0.0, 0, 0
    for pair in window.values():
        count = answers(pair.target)
        bad, good = _old_weights(pair.old.failed, answers(pair.old), moved)
        rate = bad / (bad + good)
        deviation = math.sqrt(rate * (1 - rate) / (bad + good + 1))
        expected += count * (rate + deviation)
        failed += pair.target.failed
        total += count
    detail = (
        f"{failed} of {total} failed on all routes, {expected:.1f} expected"
    )
    if not total or failed - expected < MIN_EXCESS * total:
        return 1.0, detail
    return _poisson_tail(failed, expected), detail


def _poisson_tail(count: int, mean: float) -> float:
    """Return the probability of `count` or more."""
    if mean <= 0.0:
        return 1.0 if count == 0 else 0.0
    below = sum(
        math.exp(k * math.log(mean) - mean - math.lgamma(k + 1))
        for k in range(count)
    )
    return max(0.0, 1.0 - below)


def _quantile_bucket(row: collections.abc.Sequence[int], rank: float) -> int:
    """Return the bucket in which the sum of counts reaches a rank."""
    reached = 0
    for bucket, count in enumerate(row):
        reached += count
        if reached >= rank:
            return bucket
    return len(row)


def _old_weights(bad: int, count: int, moved: bool) -> tuple[float, float]:
    """Return the parameters of the beta distribution of the old rate."""
    limit = MAX_OLD_ANSWERS_MOVED if moved else MAX_OLD_ANSWERS
    factor = min(1.0, limit / count) if count else 1.0
    return (
        PRIOR_BAD + bad * factor,
        PRIOR_GOOD + max(0, count - bad) * factor,
    )


def _probability(
    bad: int, count: int, old_bad: int, old_count: int, moved: bool
) -> float:
    """Return how probable that many bad answers are for a good version."""
    old_rate = old_bad / old_count if old_count else 0.0
    if not count or bad / count - old_rate < MIN_EXCESS:
        return 1.0
    if count > MAX_TARGET_ANSWERS:
        bad = bad * MAX_TARGET_ANSWERS // count
        count = MAX_TARGET_ANSWERS
    return beta_binomial_tail(
        bad, count, *_old_weights(old_bad, old_count, moved)
    )


def beta_binomial_tail(
    bad: int, count: int, alpha: float, beta: float
) -> float:
    """Return the probability of `bad` or more among `count`."""
    log_pmf = (
        math.lgamma(count + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(count - bad + 1)
        + math.lgamma(bad + alpha)
        + math.lgamma(count - bad + beta)
        - math.lgamma(count + alpha + beta)
        - math.lgamma(alpha)
        - math.lgamma(beta)
        + math.lgamma(alpha + beta)
    )
    term = math.exp(log_pmf)
    total = 0.0
    for k in range(bad, count + 1):
        total += term
        term *= (count - k) / (k + 1) * (k + alpha) / (count - k - 1 + beta)
    return min(1.0, total)
