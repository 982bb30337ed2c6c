"""What a back end serves, how long each call takes, and how its own reports deceive."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

MILLISECOND = 0.001


@dataclass(frozen=True, slots=True)
class Operation:
    """One kind of call: method, path prefix and median service time in seconds."""

    name: str
    method: str
    prefix: str
    median_seconds: float


ORDER = (
    Operation("basket", "GET", "/basket/", 4 * MILLISECOND),
    Operation("place-order", "POST", "/orders", 12 * MILLISECOND),
)
CATALOGUE = (
    Operation("photo", "POST", "/photos", 25 * MILLISECOND),
    Operation("price-check", "GET", "/prices/", 60 * MILLISECOND),
    Operation("stock", "GET", "/stock/", 5 * MILLISECOND),
)
RESULTS = (
    Operation("finish-time", "GET", "/finish/", 4 * MILLISECOND),
    Operation("correction", "POST", "/corrections", 15 * MILLISECOND),
    Operation("certification", "POST", "/certifications", 15 * MILLISECOND),
)
ARCHIVE = (
    Operation("upload", "POST", "/uploads", 40 * MILLISECOND),
    Operation("standings", "GET", "/standings/", 6 * MILLISECOND),
    Operation("archive-lookup", "GET", "/archive/", 5 * MILLISECOND),
)

OPERATIONS: dict[str, tuple[Operation, ...]] = {
    "order": ORDER,
    "catalogue": CATALOGUE,
    "results": RESULTS,
    "archive": ARCHIVE,
}

SPREAD = 0.4
LONGEST_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class Deception:
    """How health and load reports mislead.

    ``report_lag`` is the age in seconds of what ``/healthz`` and ``/load`` say; ``load_factor``
    multiplies the reported load (0 = always idle); ``always_healthy`` keeps ``/healthz`` at 200.
    """

    report_lag: float = 0.0
    load_factor: float = 1.0
    always_healthy: bool = False


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """Settings of one back-end stand-in; times in seconds."""

    service: str
    port: int
    host: str = "127.0.0.1"
    instance: str = "backend"
    seed: int = 0
    slots: int = 6
    queue: int = 12
    cold_seconds: float = 0.0
    cold_factor: float = 4.0
    retry_after_seconds: int = 1
    journal: str = ""
    deception: Deception = field(default_factory=Deception)


def find_operation(service: str, method: str, path: str) -> Operation | None:
    """Return the operation that a request asks for, or ``None``."""
    for operation in OPERATIONS.get(service, ()):
        if operation.method == method and path.startswith(operation.prefix):
            return operation
    return None


class ServiceTimes:
    """Draws service times from a log-normal distribution with the operation's median."""

    def __init__(self, settings: BackendSettings, started: float) -> None:
        self._random = random.Random(settings.seed)
        self._settings = settings
        self._started = started

    def draw(self, operation: Operation, now: float) -> float:
        """Return the seconds that a call starting at ``now`` takes; longer while cold."""
        factor = min(self._random.lognormvariate(0.0, SPREAD), LONGEST_FACTOR)
        return operation.median_seconds * factor * self._cold_factor(now)

    def _cold_factor(self, now: float) -> float:
        if self._settings.cold_seconds <= 0:
            return 1.0
        left = 1.0 - (now - self._started) / self._settings.cold_seconds
        return 1.0 + (self._settings.cold_factor - 1.0) * max(0.0, left)
