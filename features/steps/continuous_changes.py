"""Changes of the configuration without pause, of a size that is chosen."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

from platform_traffic import (
    DEADLINE_MS,
    OK,
    READ,
    WRITE,
    Operator,
    ask_control,
    document_of,
)

NEXT_CHANGE_SECONDS, NEXT_CHANGE_POLL_SECONDS = 2.0, 0.0005
REFUSED_PAUSE_SECONDS = 0.05


@dataclass
class RoutesOperator(Operator):
    """Puts configurations with a number of routes that stay."""

    routes: int = 0

    def document(self, number: int) -> bytes:
        """Return the next configuration."""
        kinds = {READ: "safe", WRITE: "unsafe", f"v{number}": "safe"}
        kinds |= {f"idle-{count}": "safe" for count in range(self.routes)}
        return document_of(number, self.newest, kinds, DEADLINE_MS)


@dataclass
class Changes:
    """An operator that changes the configuration without pause, until it is stopped."""

    operator: Operator
    over: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> Changes:
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self.over.is_set():
            number = self.operator.newest + 1
            answer = ask_control(
                self.operator.draw.choice(self.operator.machines),
                "PUT",
                self.operator.document(number),
            )
            if answer.status == OK:
                self.operator.newest = number
            else:
                time.sleep(REFUSED_PAUSE_SECONDS)

    def await_next(self) -> None:
        """Wait until the next change is acknowledged, or for a while."""
        newest, end = self.operator.newest, time.monotonic() + NEXT_CHANGE_SECONDS
        while self.operator.newest == newest and time.monotonic() < end:
            time.sleep(NEXT_CHANGE_POLL_SECONDS)
