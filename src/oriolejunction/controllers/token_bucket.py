"""Token bucket for rate limits."""

from oriolejunction import clock as clocks


class TokenBucket:
    """Refills at `rate_per_s` up to `burst`; its level may go below 0."""

    def __init__(
        self, clock: clocks.Clock, rate_per_s: float, burst: float
    ) -> None:
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._filled_at_ms = clock.now_ms()

    def resize(self, rate_per_s: float, burst: float) -> None:
        """Change the rate and the burst from now on."""
        self._fill()
        self._rate_per_s = rate_per_s
        self._burst = burst

    def wait_ms(self, amount: float) -> float:
        """Return how long `amount` has to wait; 0 if it may be taken now.

        An amount above the burst may be taken when the bucket is full.
        """
        self._fill()
        missing = min(amount, self._burst) - self._level
        return max(0.0, missing / self._rate_per_s * 1000.0)

    def take(self, amount: float) -> None:
        """Take tokens; a negative amount returns them."""
        self._fill()
        self._level = min(self._burst, self._level - amount)

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._filled_at_ms) / 1000.0
        self._level = min(
            self._burst, self._level + elapsed_s * self._rate_per_s
        )
        self._filled_at_ms = now_ms
