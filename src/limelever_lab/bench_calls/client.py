"""The client of the call experiment: each caller sends its next call when it has its answer."""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import httpcore
import trio

from limelever_lab.bench_calls.deployment import AT_MOST_ONCE_PATH, REPEATABLE_PATH

HTTP_OK = 200
KEEP_ALIVE_SECONDS = 60.0
CLIENT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class CallKind(StrEnum):
    """Whether the mesh may repeat the call."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"


@dataclass(frozen=True, slots=True)
class CallPlan:
    """What the callers send: kind, body, number of callers at once, expected status."""

    path: str
    kind: CallKind
    body: bytes
    concurrency: int
    status: int = HTTP_OK


@dataclass(slots=True)
class CallTimes:
    """Times of the calls that were answered as expected, in seconds, and the other calls."""

    answered: list[float] = field(default_factory=list)
    failed: int = 0
    elapsed: float = 0.0

    @property
    def made(self) -> int:
        """Return the calls made, answered or not."""
        return len(self.answered) + self.failed

    def add(self, other: CallTimes) -> None:
        """Take in the times of another slice of the same run."""
        self.answered += other.answered
        self.failed += other.failed
        self.elapsed += other.elapsed


def call_plan(kind: CallKind, body: bytes, concurrency: int) -> CallPlan:
    """Return the plan of calls of one kind."""
    path = AT_MOST_ONCE_PATH if kind is CallKind.AT_MOST_ONCE else REPEATABLE_PATH
    return CallPlan(path, kind, body, concurrency)


class Callers:
    """Runs closed loops of callers; idempotency keys are never used twice by one object."""

    def __init__(self, seed: int) -> None:
        self._numbers: Iterator[int] = itertools.count()
        self._prefix = f"bench-{seed}-{time.time_ns():x}"

    async def run(self, targets: Sequence[str], plan: CallPlan, seconds: float) -> CallTimes:
        """Make calls for some seconds; caller *n* keeps one connection to target *n* in turn."""
        times = CallTimes()
        started = time.perf_counter()
        async with trio.open_nursery() as nursery:
            for number in range(plan.concurrency):
                target = targets[number % len(targets)]
                nursery.start_soon(self._loop, target, plan, started + seconds, times)
        times.elapsed = time.perf_counter() - started
        return times

    async def _loop(self, target: str, plan: CallPlan, end: float, times: CallTimes) -> None:
        url = httpcore.URL(target + plan.path)
        origin = url.origin
        async with httpcore.AsyncHTTPConnection(
            origin, keepalive_expiry=KEEP_ALIVE_SECONDS
        ) as connection:
            while (begin := time.perf_counter()) < end:
                if await self._call(connection, url, plan):
                    times.answered.append(time.perf_counter() - begin)
                else:
                    times.failed += 1

    async def _call(
        self, connection: httpcore.AsyncHTTPConnection, url: httpcore.URL, plan: CallPlan
    ) -> bool:
        headers = [(b"host", b"limelever.test")]
        if plan.body:
            headers.append((b"content-length", str(len(plan.body)).encode()))
        if plan.kind is CallKind.AT_MOST_ONCE:
            key = f"{self._prefix}-{next(self._numbers)}"
            headers.append((b"idempotency-key", key.encode()))
        request = httpcore.Request("POST", url, headers=headers, content=plan.body)
        try:
            response = await connection.handle_async_request(request)
            content = await response.aread()
            await response.aclose()
        except CLIENT_ERRORS:
            return False
        if response.status != plan.status:
            return False
        return plan.status != HTTP_OK or content == plan.body
