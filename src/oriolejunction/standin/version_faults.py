"""Kinds of bad software versions of stand-in servers."""

import random

import msgspec


class VersionFault(msgspec.Struct, frozen=True):
    """What is wrong with the answers of a software version.

    A part `failing` of the answers are errors, a part `slow` takes `slowdown`
    times as long. The fault begins `after_ms` after the version's start. It
    shows only while a server runs `min_running` requests or more, and on the
    `route` named, if any.
    """

    failing: float = 0.0
    slow: float = 0.0
    slowdown: float = 4.0
    after_ms: float = 0.0
    min_running: int = 0
    route: str = ""


class AnswerFault(msgspec.Struct, frozen=True):
    """What is wrong with one answer."""

    fails: bool = False
    slowdown: float = 1.0

    @property
    def is_bad(self) -> bool:
        """Return whether the version made the answer a bad one."""
        return self.fails or self.slowdown > 1.0


NO_FAULT = VersionFault()


def draw(
    fault: VersionFault,
    age_ms: float,
    running: int,
    route: str,
    rng: random.Random,
) -> AnswerFault:
    """Return what is wrong with one answer.

    The version started `age_ms` ago; its server runs that many requests.
    """
    if (
        age_ms < fault.after_ms
        or running < fault.min_running
        or fault.route not in ("", route)
    ):
        return AnswerFault()
    if rng.random() < fault.failing:
        return AnswerFault(fails=True)
    if rng.random() < fault.slow:
        return AnswerFault(slowdown=fault.slowdown)
    return AnswerFault()
