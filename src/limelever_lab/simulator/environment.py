"""Virtual time, the one random source of a run, and the digest of its trace."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable

import simpy

Action = Callable[[], None]
_DIGEST_BYTES = 16


class Trace:
    """A running BLAKE2b digest over event lines, with the latest lines kept on request."""

    def __init__(self, keep_lines: bool = False) -> None:
        self._digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        self._keep_lines = keep_lines
        self.lines: list[str] = []
        self.count = 0

    def add(self, now: float, node: str, text: str, payload: bytes = b"") -> None:
        """Take one event of ``node`` at virtual time ``now`` (seconds) into the digest."""
        line = f"{now:.9f} {node} {text}"
        self._digest.update(line.encode())
        self._digest.update(payload)
        self._digest.update(b"\n")
        self.count += 1
        if self._keep_lines:
            self.lines.append(line)

    def hexdigest(self) -> str:
        """Return the digest of everything taken in so far."""
        return self._digest.hexdigest()


class Environment:
    """The event queue (simpy), the random source and the trace of one run.

    Everything random in a run comes from ``random``, so that a seed names a run.
    """

    def __init__(self, seed: int, keep_lines: bool = False) -> None:
        self._queue = simpy.Environment()
        self.random = random.Random(seed)
        self.trace = Trace(keep_lines)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return float(self._queue.now)

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` after ``delay`` seconds of virtual time."""
        timeout = self._queue.timeout(max(delay, 0.0))
        timeout.callbacks.append(lambda _event: action())

    def at(self, time: float, action: Action) -> None:
        """Run ``action`` at virtual time ``time``, or now when that has passed."""
        self.after(time - self.now, action)

    def run_until(self, time: float) -> None:
        """Carry out everything due before virtual time ``time``."""
        self._queue.run(until=time)
