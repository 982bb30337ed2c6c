"""Open-loop load: calls start when they arrive, whether or not earlier ones were answered."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import httpcore
import trio

from limelever_lab.fleet.deployment import CallClass
from limelever_lab.load.caller import Caller, CallerSettings
from limelever_lab.load.calls import ArrivalSettings, Call, draw_calls
from limelever_lab.load.outcomes import CallRecord

CONNECTIONS_PER_TARGET = 130
KEEP_ALIVE_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Who calls what, how often, and with which patience; ``targets`` are base addresses."""

    targets: tuple[str, ...]
    classes: tuple[CallClass, ...]
    arrivals: ArrivalSettings
    caller: CallerSettings = CallerSettings()


class LoadGenerator:
    """Runs calls in the background and keeps the record of each."""

    def __init__(self, settings: LoadSettings) -> None:
        self.records: list[CallRecord] = []
        self._settings = settings
        self._stopping = trio.Event()

    def stop(self) -> None:
        """Start no further calls; those under way are finished."""
        self._stopping.set()

    async def run(self) -> None:
        """Make calls until stopped, and return when the last one has met its fate."""
        settings = self._settings
        async with _open_pools(len(settings.targets)) as pools:
            caller = Caller(settings.targets, pools, settings.caller)
            async with trio.open_nursery() as nursery:
                for call in draw_calls(settings.classes, len(settings.targets), settings.arrivals):
                    if await self._stopped_within(call.gap):
                        break
                    nursery.start_soon(self._make, caller, call)
                caller.stop()

    async def _stopped_within(self, seconds: float) -> bool:
        with trio.move_on_after(seconds):
            await self._stopping.wait()
        return self._stopping.is_set()

    async def _make(self, caller: Caller, call: Call) -> None:
        self.records.append(await caller.make(call))


@asynccontextmanager
async def _open_pools(count: int) -> AsyncIterator[Sequence[httpcore.AsyncConnectionPool]]:
    async with AsyncExitStack() as stack:
        pools = [
            httpcore.AsyncConnectionPool(
                max_connections=CONNECTIONS_PER_TARGET, keepalive_expiry=KEEP_ALIVE_SECONDS
            )
            for _ in range(count)
        ]
        for pool in pools:
            await stack.enter_async_context(pool)
        yield pools


async def run_for(settings: LoadSettings, seconds: float) -> list[CallRecord]:
    """Run load for some seconds and return the records."""
    generator = LoadGenerator(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(generator.run)
        await trio.sleep(seconds)
        generator.stop()
    return generator.records
