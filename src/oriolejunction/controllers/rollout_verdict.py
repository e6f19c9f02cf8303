"""Decides from counts whether the target of a rollout is good or bad.

Load pattern: some tens of requests reach the target while many more reach
the old versions, on several routes, during crashes of a zone's servers and
other faults that concern both. Each route and measure is compared with the
old versions in the same window of time, so what concerns both doesn't count.
Several windows are compared, since a version may turn bad late.

The test: given the old versions' answers, the number of bad ones among n
answers of the target has a beta-binomial distribution. The probability of as
many as seen, divided by the comparison's part of the error rate, is the
score. All routes are also compared together. A bad answer is a failed one, or
one that is slower than the old versions' by more than a factor at the same
quantile. Rates of errors are in docs/design/rollouts.md.
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
# After the move it is looked at many times, with more answers.
NOT_COMPLETED_SCORE = 0.075
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
# A smaller excess of bad answers is no fault that users notice. One server of
# several that is slow for a while makes fewer answers slow than the second.
MIN_EXCESS = 0.08
MIN_SLOW_EXCESS = 0.15
# Target servers see another load than the old ones, and buckets are coarse:
# only answers slower by more buckets than this are slow (1.5 per bucket).
SLOWER_BUCKETS = 1
# Quantiles of the old latencies at which both versions are compared.
QUANTILES = (0.5, 0.9, 0.97)
POOLED_QUANTILE = 0.97
MIN_OLD_LATENCIES = 5
# Parts of the error rate by comparison; they add up to 1 with two measures.
# Failures on all routes are the most likely fault.
ALL_FAILURES_WEIGHT = 1 / 4
ALL_LATENCIES_WEIGHT = 1 / 16
FAILURES_WEIGHT = 1 / 4
LATENCY_WEIGHT = 3 / 8 / (2 * len(QUANTILES))
# A route with less of the traffic doesn't hold up a move; the second part is
# that at the last time for one.
MAJOR_ROUTE_SHARE, LAST_MAJOR_SHARE = 0.1, 0.3
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
    """Return how many answers arrived, good or failed.

    Lost ones say nothing, so a version whose answers are all lost is never
    found good. A stream that has sent events counts before its end.
    """
    good = sum(counts.latencies.get(states.RolloutMeasure.ANSWER, ()))
    return counts.failed + good


def compare(windows: collections.abc.Iterable[Window], moved: bool) -> Finding:
    """Return the worst finding over all windows, routes and measures.

    After the move there are no old answers in the same window; `moved` says
    that those of the time before are given.
    """
    worst = Finding()
    for window in windows:
        routes = max(1, len(window))
        for route, pair in window.items():
            for test in _route_tests(pair, moved):
                score = test.score * routes
                if score < worst.score:
                    worst = Finding(score, f"route {route}: {test.detail}")
        for test in _tests_over_routes(window, moved):
            if test.score < worst.score:
                worst = test
    return worst


def missing_evidence(window: Window, waited: float) -> str | None:
    """Return which route lacks answers of the target, None if none does.

    `waited` is the part of the time for a move that has passed.
    """
    waited = min(1.0, max(0.0, waited))
    major = MAJOR_ROUTE_SHARE + waited * (LAST_MAJOR_SHARE - MAJOR_ROUTE_SHARE)
    wanted = ANSWERS_WANTED - waited * (ANSWERS_WANTED - ANSWERS_NEEDED)
    sent = sum(pair.old.sent + pair.target.sent for pair in window.values())
    found = 0
    for route, pair in sorted(window.items()):
        route_sent = pair.old.sent + pair.target.sent
        count = answers(pair.target)
        found += count
        if route_sent >= major * sent and count < wanted:
            return f"{count} answers on route {route}, {wanted:.0f} wanted"
    if found < wanted:
        return f"{found} answers in all, {wanted:.0f} wanted"
    return None


@dataclasses.dataclass(frozen=True)
class _Counts:
    """Bad answers among all, at the target and at the old versions."""

    bad: int
    total: int
    old_bad: int
    old_total: int
    min_excess: float = MIN_EXCESS


def _failures(pair: RoutePair) -> _Counts:
    return _Counts(
        pair.target.failed,
        answers(pair.target),
        pair.old.failed,
        answers(pair.old),
    )


def _slow(
    pair: RoutePair,
    measure: states.RolloutMeasure,
    quantile: float,
) -> _Counts | None:
    """Count answers slower than a quantile of the old ones.

    At the target only those count that are slower by more than a factor.
    Return None with too few.
    """
    old = pair.old.latencies.get(measure, ())
    target = pair.target.latencies.get(measure, ())
    old_total, total = sum(old), sum(target)
    if old_total < MIN_OLD_LATENCIES or not total:
        return None
    bucket = _quantile_bucket(old, quantile * old_total)
    return _Counts(
        sum(target[bucket + 1 + SLOWER_BUCKETS :]),
        total,
        sum(old[bucket + 1 :]),
        old_total,
        MIN_SLOW_EXCESS,
    )


def _route_tests(
    pair: RoutePair, moved: bool
) -> collections.abc.Iterator[Finding]:
    """Yield the comparisons of one route, with scores for one route."""
    failures = _failures(pair)
    if not failures.total:
        return
    yield Finding(
        _probability(failures, moved) / FAILURES_WEIGHT,
        f"{failures.bad} of {failures.total} failed, {failures.old_bad} of"
        f" {failures.old_total} at old versions",
    )
    for measure in states.RolloutMeasure:
        for quantile in QUANTILES:
            slow = _slow(pair, measure, quantile)
            if slow is not None:
                yield Finding(
                    _probability(slow, moved) / LATENCY_WEIGHT,
                    f"{slow.bad} of {slow.total} much slower than"
                    f" {slow.old_total} at old versions at quantile"
                    f" {quantile}, {measure.name}",
                )


def _tests_over_routes(
    window: Window, moved: bool
) -> collections.abc.Iterator[Finding]:
    """Yield the comparisons of all routes together, each at its own rate."""
    pairs = [pair for pair in window.values() if answers(pair.target)]
    yield _pooled(
        [_failures(pair) for pair in pairs],
        "failed",
        ALL_FAILURES_WEIGHT,
        moved,
    )
    for measure in states.RolloutMeasure:
        slow = [_slow(pair, measure, POOLED_QUANTILE) for pair in pairs]
        yield _pooled(
            [each for each in slow if each is not None],
            f"are much slower, {measure.name},",
            ALL_LATENCIES_WEIGHT,
            moved,
        )


def _pooled(
    found: list[_Counts], what: str, weight: float, moved: bool
) -> Finding:
    expected, bad, total = 0.0, 0, 0
    for each in found:
        alpha, beta = _old_weights(each.old_bad, each.old_total, moved)
        rate = alpha / (alpha + beta)
        deviation = math.sqrt(rate * (1 - rate) / (alpha + beta + 1))
        expected += each.total * (rate + deviation)
        bad += each.bad
        total += each.total
    if not total or bad - expected < found[0].min_excess * total:
        return Finding()
    return Finding(
        _poisson_tail(bad, expected) / weight,
        f"{bad} of {total} {what} on all routes, {expected:.1f} expected",
    )


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


def _probability(counts: _Counts, moved: bool) -> float:
    """Return how probable that many bad answers are for a good version."""
    bad, total = counts.bad, counts.total
    old_rate = counts.old_bad / counts.old_total if counts.old_total else 0.0
    if bad / total - old_rate < counts.min_excess:
        return 1.0
    if total > MAX_TARGET_ANSWERS:
        bad = bad * MAX_TARGET_ANSWERS // total
        total = MAX_TARGET_ANSWERS
    return beta_binomial_tail(
        bad, total, *_old_weights(counts.old_bad, counts.old_total, moved)
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
