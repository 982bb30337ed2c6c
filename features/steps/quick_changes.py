"""An operator whose changes come in quick succession, and at times two of them at once."""

from __future__ import annotations

import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

from platform_machines import ControlMachine
from platform_traffic import (
    APPLY_SECONDS,
    NOT_RUN,
    OK,
    ORDER_LIMIT_SECONDS,
    READ,
    WRITE,
    Answer,
    ask_control,
    document_of,
    version_of,
)

ROUTE_TIMEOUT_MS = 9000
"""Longer than any deadline of a caller, so that the deadline is what ends a request."""

LASTING = {READ: "safe", WRITE: "unsafe", "upload": "upload"}
KEPT_ROUTES = 40
"""Routes that came with the latest changes; older ones go, one with each change."""

LOST_RACE = 412
SHARE_OF_RACES = 0.25
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.0, 0.6
RETRY_SECONDS = 0.1
LARGEST_STEP = 3
LONG_SECONDS = 4.0
"""Changes that take longer are printed; undisrupted the platform gives them as long."""


@dataclass(frozen=True, slots=True)
class Change:
    """A configuration: its number, the one it builds on, and the routes that changes added."""

    number: int
    base: int
    routes: tuple[str, ...]

    @property
    def added(self) -> str:
        return self.routes[-1]

    def document(self) -> bytes:
        kinds = {**LASTING, **dict.fromkeys(self.routes, "safe")}
        return document_of(self.number, self.base, kinds, ROUTE_TIMEOUT_MS)


@dataclass(frozen=True, slots=True)
class RouteNews:
    """What became of routes: monotonic seconds by route."""

    taken_at: dict[str, float]
    dropped_at: dict[str, float]
    drop_sent_at: dict[str, float]
    lost_at: dict[str, float]


class QuickChanges:
    """Puts changes until it is stopped; each must be taken, and of two at once just one."""

    def __init__(self, machines: list[ControlMachine], seed: int) -> None:
        self._machines, self._draw = machines, random.Random(f"changes-{seed}")
        self._over = threading.Event()
        self._thread: threading.Thread | None = None
        self._lock = threading.Lock()
        self._news = RouteNews({}, {}, {}, {})
        self._names = itertools.count(1)
        self._taken: list[tuple[float, int]] = []
        self.current = Change(0, 0, ())
        self.broken: list[str] = []
        self.changes = self.races = self.reads = 0
        self.longest_seconds = 0.0

    def start(self) -> None:
        self._over.clear()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        self._over.set()
        if self._thread is not None:
            self._thread.join()
            self._thread = None

    def news(self) -> RouteNews:
        """Return a copy of what is known of routes."""
        with self._lock:
            news = self._news
            return RouteNews(
                dict(news.taken_at),
                dict(news.dropped_at),
                dict(news.drop_sent_at),
                dict(news.lost_at),
            )

    def _run(self) -> None:
        while not self._over.is_set():
            if self._draw.random() < SHARE_OF_RACES:
                self.race()
            else:
                self.change()
            self.read()
            self._over.wait(self._draw.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS))

    def change(self) -> None:
        """Put one change, which must be taken."""
        change = self._next()
        status = self._put(change, self._draw.getrandbits(32))
        if status == OK:
            self._take(change)
        else:
            self.broken.append(f"change r{change.number} on r{change.base} got {status} in the end")

    def race(self) -> None:
        """Put two changes on the same version at once, of which just one must be taken."""
        first, second = self._next(), self._next()
        if self._draw.random() < 0.5:
            second = replace(second, number=first.number)
        seeds = self._draw.getrandbits(32), self._draw.getrandbits(32)
        with ThreadPoolExecutor(2) as two:
            statuses = list(two.map(self._put, (first, second), seeds))
        self.races += 1
        if sorted(statuses) != [OK, LOST_RACE]:
            self.broken.append(f"of r{first.number} and r{second.number} at once: {statuses}")
        if OK in statuses:
            winner, loser = (first, second) if statuses[0] == OK else (second, first)
            with self._lock:
                self._news.lost_at[loser.added] = time.monotonic()
            self._take(winner)

    def read(self) -> None:
        """Read at some machine: never older than what was taken ``APPLY_SECONDS`` ago."""
        before = time.monotonic() - APPLY_SECONDS
        least = max((number for at, number in self._taken if at < before), default=0)
        answer = ask_control(self._draw.choice(self._machines), "GET")
        if answer.status != OK:
            return
        self.reads += 1
        number = version_of(answer.body)
        if number < least:
            self.broken.append(f"a read gave r{number}, r{least} was taken")
        if number == self.current.number and answer.body != self.current.document():
            self.broken.append(f"a read of r{number} gave another document")

    def _next(self) -> Change:
        """Return a change to put; its route's name is used once, its number maybe again."""
        number = self.current.number + self._draw.randint(1, LARGEST_STEP)
        routes = (*self.current.routes, f"p{next(self._names)}")[-KEPT_ROUTES:]
        return Change(number, self.current.number, routes)

    def _take(self, change: Change) -> None:
        now = time.monotonic()
        with self._lock:
            self._news.taken_at[change.added] = now
            for route in set(self.current.routes) - set(change.routes):
                self._news.dropped_at[route] = now
        self._taken.append((now, change.number))
        self.current = change
        self.changes += 1

    def _put(self, change: Change, seed: int) -> int:
        """Put a change until its answer is clear, and return that; 0 if none came in time."""
        draw, body, begun = random.Random(seed), change.document(), time.monotonic()
        tried: list[str] = []
        with self._lock:
            for route in set(self.current.routes) - set(change.routes):
                self._news.drop_sent_at.setdefault(route, begun)
        while time.monotonic() < begun + ORDER_LIMIT_SECONDS:
            answer = ask_control(draw.choice(self._machines), "PUT", body)
            status = answer.status
            if status == OK or (status // 100 == 4 and status not in NOT_RUN):
                self._note_time(change, begun, tried, answer)
                return status
            tried.append(f"{time.monotonic() - begun:.3f} {status}")
            time.sleep(RETRY_SECONDS)
        self._note_time(change, begun, tried, Answer(0))
        return 0

    def _note_time(self, change: Change, begun: float, tried: list[str], answer: Answer) -> None:
        seconds = time.monotonic() - begun
        self.longest_seconds = max(self.longest_seconds, seconds)
        if seconds > LONG_SECONDS or answer.status not in (OK, LOST_RACE):
            told = f"r{change.number} on r{change.base} at {begun:.3f}: {answer.status}"
            print(
                f"{told} after {seconds:.3f} s, {answer.body[:200]!r}, before: {tried}", flush=True
            )
