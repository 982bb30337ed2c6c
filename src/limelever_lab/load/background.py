"""Load that runs beside a synchronous script, in a thread of its own."""

from __future__ import annotations

import threading

import trio

from limelever_lab.load.generator import LoadGenerator, LoadSettings
from limelever_lab.load.outcomes import CallRecord

FINISH_LIMIT_SECONDS = 120.0


class BackgroundLoad:
    """Runs a load generator in a thread until it is stopped."""

    def __init__(self, settings: LoadSettings) -> None:
        self._generator = LoadGenerator(settings)
        self._token: trio.lowlevel.TrioToken | None = None
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, name="callers", daemon=True)

    @property
    def records(self) -> list[CallRecord]:
        """Return the records of the calls that are finished so far."""
        return list(self._generator.records)

    def start(self) -> None:
        """Begin to make calls."""
        self._thread.start()
        self._started.wait()

    def stop(self) -> list[CallRecord]:
        """Start no further calls, wait for those under way, and return all records."""
        if self._token is not None and self._thread.is_alive():
            self._token.run_sync_soon(self._generator.stop)
        self._thread.join(FINISH_LIMIT_SECONDS)
        if self._thread.is_alive():
            raise TimeoutError(f"calls under way after {FINISH_LIMIT_SECONDS} s")
        return self.records

    def _run(self) -> None:
        trio.run(self._main)

    async def _main(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._started.set()
        await self._generator.run()
