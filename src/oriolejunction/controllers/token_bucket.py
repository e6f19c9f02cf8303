"""Token buckets on the instance's clock."""

from oriolejunction import clock as clocks


class TokenBucket:
    """Refill at `rate_per_s` up to `burst`; may go into debt."""

    def __init__(
        self, clock: clocks.Clock, rate_per_s: float, burst: float
    ) -> None:
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._filled_at_ms = clock.now_ms()

    def resize(self, rate_per_s: float, burst: float) -> None:
        """Change the rate from now on."""
        self._fill()
        self._rate_per_s = rate_per_s
        self._burst = burst

    def wait_ms(self, amount: float) -> float:
        """Return for how long `amount` has to wait; 0 if it may go.

        An amount above the burst may go when the bucket is full.
        """
        self._fill()
        missing = min(amount, self._burst) - self._level
        return max(0.0, missing / self._rate_per_s * 1000.0)

    def take(self, amount: float) -> None:
        """Take tokens; a negative amount gives back."""
        self._fill()
        self._level = min(self._burst, self._level - amount)

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        passed_s = (now_ms - self._filled_at_ms) / 1000.0
        self._level = min(
            self._burst, self._level + passed_s * self._rate_per_s
        )
        self._filled_at_ms = now_ms
