"""Which requests ran as back ends ended, merged from what machines tell each other.

For each request two sets grow: the crashes, and those of them that count no more since the request
was answered. News may come in any order, twice, or by way of others: the union of the sets is the
same everywhere. Age and number bound the table, the least suspect are forgotten first.

A crash has a depth: one more than the proxy knew of when it sent the call. Back ends that end at
one moment, of whatever cause, are no evidence against what ran at all of them; only a request that
is sent again after a crash, and again after the next, is.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from limelever.protocol.endpoints_pb2 import CrashNews, Suspect
from limelever.quarantine.fingerprint import Fingerprint
from limelever.quarantine.policy import CONVICTING_CRASHES, kept_time

REQUESTS_LIMIT = 1024
"""Requests remembered: 0.8 MB with two crashes each, 43 kB for a machine that begins to listen."""

CRASHES_LIMIT = 16
"""Crashes remembered for each request: more neither convict nor prolong."""

_KEPT_OF_LIMIT = 0.9
_MILLISECONDS = 1000


class Suspected(Struct, frozen=True):
    """A request that ran as a back end ended; its proxy knew of ``known_depth`` ends in a row."""

    fingerprint: Fingerprint
    known_depth: int = 0


class Suspicion(Struct):
    """What speaks against one request; ``crashed_at`` is its newest crash (seconds, monotonic).

    ``crashes`` holds the depth of each by its number.
    """

    fingerprint: Fingerprint
    crashes: dict[int, int]
    cleared: frozenset[int]
    crashed_at: float

    @property
    def standing(self) -> int:
        """Return how often in a row back ends have ended, as far as it counts.

        A depth that rests on crashes which were cleared since goes no further than what is left.
        """
        counting = self.crashes.keys() - self.cleared
        deepest = max((self.crashes[each] for each in counting), default=0)
        return min(deepest, len(counting))

    @property
    def convicted(self) -> bool:
        """Return whether there are enough of them."""
        return self.standing >= CONVICTING_CRASHES


class Evidence:
    """Suspicions by request; times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._by_request: dict[int, Suspicion] = {}
        self._heads: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._by_request)

    def has_head(self, head: int) -> bool:
        """Return whether a request with these first parts is known."""
        return head in self._heads

    def of(self, request: int) -> Suspicion | None:
        """Return what speaks against a request, if it is known."""
        return self._by_request.get(request)

    def all(self) -> tuple[Suspicion, ...]:
        """Return all that is known."""
        return tuple(self._by_request.values())

    def crashed(self, suspects: Iterable[Suspected], crash: int, now: float) -> list[int]:
        """Take the end of a back end under some requests; return those for which it is news."""
        found = (
            Suspicion(each.fingerprint, {crash: each.known_depth + 1}, frozenset(), now)
            for each in suspects
        )
        changed = [each.fingerprint.request for each in found if self._merge(each, now)]
        self._bound()
        return changed

    def clear(self, request: int) -> bool:
        """Let none of a request's crashes count any more; return whether one did."""
        held = self._by_request.get(request)
        if held is None or not held.standing:
            return False
        held.cleared |= held.crashes.keys()
        return True

    def take(self, news: CrashNews, now: float) -> list[int]:
        """Merge what another machine knows; return the requests of which something was new."""
        changed = [each.request for each in news.suspects if self._merge(_read(each, now), now)]
        self._bound()
        return changed

    def news(self, requests: Iterable[int], now: float, full: bool = False) -> CrashNews:
        """Return what is known of some requests, as it is told to others."""
        known = (self._by_request.get(request) for request in requests)
        return CrashNews(full=full, suspects=[_written(each, now) for each in known if each])

    def all_news(self, now: float) -> CrashNews:
        """Return all that is known, for a machine that begins to listen."""
        self.expire(now)
        return self.news(self._by_request, now, full=True)

    def missing_in(self, news: CrashNews) -> list[int]:
        """Return the requests of which another machine's full news lack something."""
        told = {each.request: each for each in news.suspects}
        return [
            request
            for request, held in self._by_request.items()
            if request not in told
            or not held.crashes.keys() <= set(told[request].crashes)
            or not held.cleared <= set(told[request].cleared)
        ]

    def expire(self, now: float) -> list[int]:
        """Forget what is too old; return its requests."""
        over = [
            request
            for request, held in self._by_request.items()
            if now >= held.crashed_at + kept_time(held.standing)
        ]
        for request in over:
            self._forget(request)
        return over

    def _merge(self, other: Suspicion, now: float) -> bool:
        """Unite what is known of a request; return whether that brought something new."""
        if now >= other.crashed_at + kept_time(other.standing):
            return False
        request = other.fingerprint.request
        held = self._by_request.get(request)
        if held is None:
            self._by_request[request] = other
            self._heads[other.fingerprint.head] += 1
            return True
        crashes = _bounded(held.crashes, other.crashes)
        cleared = held.cleared | (other.cleared & crashes.keys())
        if crashes == held.crashes and cleared == held.cleared:
            return False
        if crashes != held.crashes:
            held.crashed_at = max(held.crashed_at, other.crashed_at)
        held.crashes, held.cleared = crashes, cleared
        return True

    def _bound(self) -> None:
        if len(self._by_request) <= REQUESTS_LIMIT:
            return
        held = self._by_request
        least_first = sorted(held, key=lambda each: (held[each].standing, held[each].crashed_at))
        for request in least_first[: len(held) - int(REQUESTS_LIMIT * _KEPT_OF_LIMIT)]:
            self._forget(request)

    def _forget(self, request: int) -> None:
        head = self._by_request.pop(request).fingerprint.head
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]


def _bounded(held: dict[int, int], more: dict[int, int]) -> dict[int, int]:
    """Return the union up to the limit, of two depths of one crash the greater.

    What is held is never given up for others once a machine has acted on it.
    """
    united = {crash: max(depth, more.get(crash, 0)) for crash, depth in held.items()}
    for crash in sorted(more.keys() - held.keys()):
        if len(united) < CRASHES_LIMIT:
            united[crash] = more[crash]
    return united


def _read(suspect: Suspect, now: float) -> Suspicion:
    crashes = _bounded({}, dict(zip(suspect.crashes, suspect.depths, strict=False)))
    return Suspicion(
        Fingerprint(suspect.request, suspect.head),
        crashes,
        frozenset(suspect.cleared) & crashes.keys(),
        now - suspect.age_ms / _MILLISECONDS,
    )


def _written(suspicion: Suspicion, now: float) -> Suspect:
    crashes = sorted(suspicion.crashes)
    return Suspect(
        request=suspicion.fingerprint.request,
        head=suspicion.fingerprint.head,
        crashes=crashes,
        depths=[suspicion.crashes[crash] for crash in crashes],
        cleared=sorted(suspicion.cleared),
        age_ms=max(0, int((now - suspicion.crashed_at) * _MILLISECONDS)),
    )
