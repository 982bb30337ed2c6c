"""A thread of the test process that runs until it is stopped."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod


class BackgroundThread(ABC):
    """Runs ``_run``, which returns once ``_stopped`` is set."""

    def __init__(self) -> None:
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    @abstractmethod
    def _run(self) -> None:
        """Work until ``_stopped`` is set."""
