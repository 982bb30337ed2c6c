"""The admin listener of every process: /metrics, /healthz and /readyz."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from limelever.common.sansio import Address
from limelever.transport.metrics import exposition

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
_TEXT = b"text/plain; version=0.0.4; charset=utf-8"


def admin_application(is_ready: Callable[[], bool]) -> Callable[..., Awaitable[None]]:
    """Return the ASGI application; ``is_ready`` decides /readyz."""

    async def application(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        status, body = _answer(scope["path"], is_ready)
        headers = [(b"content-type", _TEXT), (b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    return application


def _answer(path: str, is_ready: Callable[[], bool]) -> tuple[int, bytes]:
    if path == "/metrics":
        return 200, exposition()
    if path == "/healthz":
        return 200, b"ok\n"
    if path == "/readyz":
        return (200, b"ready\n") if is_ready() else (503, b"not ready\n")
    return 404, b"not found\n"


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Answer hypercorn's lifespan events; an application that ignores them cannot start."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def serve_admin(address: Address, is_ready: Callable[[], bool]) -> None:
    """Serve the admin listener until cancelled; an address in use raises ``OSError``."""
    await serve(
        admin_application(is_ready),
        quiet_config(address),
        shutdown_trigger=trio.Event().wait,
        mode="asgi",
    )


def quiet_config(address: Address) -> Config:
    """Return a hypercorn configuration bound to one address, without its own logs."""
    config = Config()
    config.bind = [str(address)]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    return config
