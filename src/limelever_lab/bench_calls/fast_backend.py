"""A back end that echoes a request's body after a fixed service time, none by default.

It stands for the least that any back end behind the house's HTTP server costs, so that what
the mesh adds to a call is not hidden behind the work of a real one.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from limelever.common.sansio import Address
from limelever_lab.standins import asgi
from limelever_lab.standins.slots import ShedError, SlotPool

HEALTH_PATH = "/healthz"
UNLIMITED_REQUESTS = 1_000_000_000
KEEP_ALIVE_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class FastBackendSettings:
    """Where it listens, its service time in seconds, its slots and the bound of its queue."""

    address: Address
    service_seconds: float = 0.0
    slots: int = 1024
    queue: int = 1024


class FastBackend:
    """The ASGI application; a call over slots and queue is shed with 503."""

    def __init__(self, settings: FastBackendSettings) -> None:
        self._seconds = settings.service_seconds
        self._pool = SlotPool(settings.slots, settings.queue)

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await asgi.accept_lifespan(receive, send)
            return
        try:
            request = await asgi.read_request(scope, receive)
        except asgi.ClientGoneError:
            return
        if request.path != HEALTH_PATH and self._seconds > 0:
            try:
                async with self._pool.slot():
                    await trio.sleep(self._seconds)
            except ShedError:
                await asgi.send_answer(send, 503, b"", [(b"retry-after", b"1")])
                return
        await asgi.send_answer(send, 200, request.body)


async def serve_fast_backend(settings: FastBackendSettings, stop: trio.Event) -> None:
    """Serve until ``stop`` is set."""
    config = Config()
    config.bind = [str(settings.address)]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = UNLIMITED_REQUESTS
    config.include_date_header = False
    app = FastBackend(settings)
    await serve(app, config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]
