"""What became of calls: the fate of each, counts and answer times."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000


class Fate(StrEnum):
    """What a caller knows about its call in the end."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"
    MISMATCHED = "mismatched"
    LOST = "lost"


class AttemptOutcome(StrEnum):
    """What one attempt of a caller came to."""

    ANSWERED = "answered"
    MISMATCHED = "mismatched"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"
    NOT_SENT = "not-sent"
    CUT = "cut"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call from arrival to its fate; times in seconds on the caller's monotonic clock.

    ``kinds`` are the error kinds of its attempts, or the network errors they met.
    """

    call_id: str
    key: str
    operation: str
    group: str
    fate: Fate
    status: int
    kind: str
    attempts: tuple[AttemptOutcome, ...]
    kinds: tuple[str, ...]
    started: float
    seconds: float

    @property
    def refused_throughout(self) -> bool:
        """Return whether every attempt was refused as not run or never sent."""
        clean = {AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT}
        return self.fate is Fate.REFUSED and set(self.attempts) <= clean


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Quantiles of a set of times, in seconds."""

    count: int
    p50: float
    p99: float
    largest: float


def quantiles(seconds: Iterable[float]) -> Quantiles:
    """Return quantiles of times by an HDR histogram."""
    histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(LOWEST_MICROSECONDS, int(value * MICROSECONDS)))
    return Quantiles(
        count=int(histogram.get_total_count()),
        p50=histogram.get_value_at_percentile(50.0) / MICROSECONDS,
        p99=histogram.get_value_at_percentile(99.0) / MICROSECONDS,
        largest=histogram.get_max_value() / MICROSECONDS,
    )


@dataclass(frozen=True, slots=True)
class Summary:
    """Counts over a set of calls, and the times of the answered ones."""

    fates: dict[Fate, int]
    attempts: dict[AttemptOutcome, int]
    answered_times: Quantiles

    def count(self, fate: Fate) -> int:
        """Return how many calls met a fate."""
        return self.fates.get(fate, 0)


def summarise(records: Iterable[CallRecord]) -> Summary:
    """Count fates and attempts, and take the quantiles of answer times."""
    kept = list(records)
    answered = (record.seconds for record in kept if record.fate is Fate.ANSWERED)
    return Summary(
        fates=dict(Counter(record.fate for record in kept)),
        attempts=dict(Counter(attempt for record in kept for attempt in record.attempts)),
        answered_times=quantiles(answered),
    )
