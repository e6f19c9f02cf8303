"""Options and result of one bench run."""

import dataclasses

import hdrh.histogram
import orjson

MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_MS = 1000


@dataclasses.dataclass(frozen=True)
class BenchOptions:
    """Options of a run; `seconds` bounds the duration of timed benches."""

    seed: int = 1
    seconds: float = 20.0


@dataclasses.dataclass(frozen=True)
class BenchResult:
    """Figures by name, and how often an invariant or bound was violated."""

    name: str
    seed: int
    figures: dict[str, object]
    violations: int

    def json(self) -> str:
        """Return the result as one line of JSON."""
        return orjson.dumps(dataclasses.asdict(self)).decode()


class Latencies:
    """Histogram of durations in ms."""

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            1, MAX_LATENCY_MS * MICROSECONDS_PER_MS, SIGNIFICANT_DIGITS
        )

    def record(self, duration_ms: float) -> None:
        """Add one duration."""
        microseconds = max(1, int(duration_ms * MICROSECONDS_PER_MS))
        self._histogram.record_value(microseconds)

    @property
    def count(self) -> int:
        """Return the number of durations."""
        return self._histogram.get_total_count()

    def at_ms(self, percentile: float) -> float:
        """Return the duration at a percentile of 0 to 100."""
        value = self._histogram.get_value_at_percentile(percentile)
        return round(value / MICROSECONDS_PER_MS, 2)

    def figures(self, prefix: str) -> dict[str, float]:
        """Return p50, p95, p99 and max as named figures."""
        return {
            f"{prefix}_p50_ms": self.at_ms(50),
            f"{prefix}_p95_ms": self.at_ms(95),
            f"{prefix}_p99_ms": self.at_ms(99),
            f"{prefix}_max_ms": self.at_ms(100),
        }
