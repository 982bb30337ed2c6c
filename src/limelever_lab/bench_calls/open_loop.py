"""Open-loop callers of several groups: calls start when they arrive, answered or not."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import httpcore
import trio

from limelever_lab.bench_calls.client import CLIENT_ERRORS, HTTP_OK, KEEP_ALIVE_SECONDS
from limelever_lab.bench_calls.deployment import REPEATABLE_PATH
from limelever_lab.load.caller import GROUP_HEADER, KIND_HEADER

CONNECTIONS = 1000
LONGEST_WAIT_SECONDS = 10.0
RETRY_AFTER_HEADER = "retry-after"
BACKEND_REFUSAL = "shed by the back end"
BROKEN = "connection broke"


@dataclass(slots=True)
class GroupCalls:
    """What became of a group's calls; ``refused`` counts them by error kind, times in seconds."""

    offered: int = 0
    answered: list[float] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    with_retry_after: int = 0


@dataclass(frozen=True, slots=True)
class OpenLoop:
    """Rates in calls a second by group; with ``one_group`` the mesh isn't told the groups.

    Calls of the first ``warm_up`` seconds are made and not counted. ``late`` groups begin after
    them. A group whose rate is 0 is silent.
    """

    rates: Mapping[str, float]
    one_group: bool
    warm_up: float
    duration: float
    seed: int
    late: frozenset[str] = frozenset()


async def run_open_loop(targets: Sequence[str], plan: OpenLoop) -> dict[str, GroupCalls]:
    """Make the calls, targets in turn, and return what became of them by group."""
    calls = {group: GroupCalls() for group in plan.rates}
    async with (
        httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS,
            max_keepalive_connections=CONNECTIONS,
            keepalive_expiry=KEEP_ALIVE_SECONDS,
        ) as pool,
        trio.open_nursery() as nursery,
    ):
        for group, rate in plan.rates.items():
            if not rate:
                continue
            arrivals = _Arrivals(pool, targets, plan, group, rate, calls[group])
            nursery.start_soon(arrivals.run, nursery)
    return calls


class _Arrivals:
    """The arrivals of one group."""

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        targets: Sequence[str],
        plan: OpenLoop,
        group: str,
        rate: float,
        calls: GroupCalls,
    ) -> None:
        self._pool = pool
        self._urls = [httpcore.URL(target + REPEATABLE_PATH) for target in targets]
        self._plan = plan
        self._group = group
        self._rate = rate
        self._calls = calls
        self._random = random.Random(f"{plan.seed}/{group}")

    async def run(self, nursery: trio.Nursery) -> None:
        """Start calls for the plan's time."""
        started = trio.current_time()
        arrival = started
        if self._group in self._plan.late:
            arrival += self._plan.warm_up
        for number in range(1_000_000_000):
            arrival += self._random.expovariate(self._rate)
            if arrival >= started + self._plan.warm_up + self._plan.duration:
                return
            await trio.sleep_until(arrival)
            counted = arrival >= started + self._plan.warm_up
            nursery.start_soon(self._make, self._urls[number % len(self._urls)], counted)

    async def _make(self, url: httpcore.URL, counted: bool) -> None:
        begin = trio.current_time()
        response = await self._request(url)
        if not counted:
            return
        self._calls.offered += 1
        if response is None:
            self._calls.refused[BROKEN] += 1
        elif response.status == HTTP_OK:
            self._calls.answered.append(trio.current_time() - begin)
        else:
            self._count_refusal(response)

    async def _request(self, url: httpcore.URL) -> httpcore.Response | None:
        headers = [("host", "limelever.test"), ("content-length", "0")]
        if not self._plan.one_group:
            headers.append((GROUP_HEADER, self._group))
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), LONGEST_WAIT_SECONDS)
        try:
            return await self._pool.request(
                "POST", url, headers=headers, extensions={"timeout": timeout}
            )
        except CLIENT_ERRORS:
            return None

    def _count_refusal(self, response: httpcore.Response) -> None:
        headers = {name.decode().lower(): value.decode() for name, value in response.headers}
        self._calls.refused[headers.get(KIND_HEADER, BACKEND_REFUSAL)] += 1
        self._calls.with_retry_after += RETRY_AFTER_HEADER in headers
