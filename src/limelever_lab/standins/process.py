"""Life cycle of a stand-in process: run a service until SIGTERM or SIGINT."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio

Service = Callable[[trio.Event], Awaitable[None]]


def run_until_signal(service: Service) -> None:
    """Run a service with an event that SIGTERM or SIGINT sets, and return when it has ended."""
    trio.run(_run, service)


async def _run(service: Service) -> None:
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_set_on_signal, signals, stop)
            await service(stop)
            nursery.cancel_scope.cancel()


async def _set_on_signal(signals: object, stop: trio.Event) -> None:
    async for _number in signals:  # type: ignore[attr-defined]
        stop.set()
