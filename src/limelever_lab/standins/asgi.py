"""A thin ASGI layer for the stand-ins: request bodies, JSON answers, serving until stopped."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

Scope = dict[str, Any]
AsgiEvent = dict[str, Any]
Receive = Callable[[], Awaitable[AsgiEvent]]
Send = Callable[[AsgiEvent], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

CONNECTION_BACKLOG = 1024
KEEP_ALIVE_SECONDS = 120.0
GRACEFUL_SECONDS = 10.0


class ClientGoneError(Exception):
    """The caller closed its connection before its answer was complete."""


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request with its whole body."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_request(scope: Scope, receive: Receive) -> Request:
    """Read a whole request; raise :class:`ClientGoneError` when the caller leaves early."""
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise ClientGoneError
        body += event.get("body", b"")
        if not event.get("more_body", False):
            break
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    return Request(scope["method"], scope["path"], headers, bytes(body))


async def take_request(scope: Scope, receive: Receive, send: Send) -> Request | None:
    """Return the request of an HTTP scope; serve lifespans, and return ``None`` for the rest.

    Raises :class:`ClientGoneError` when the caller leaves early.
    """
    if scope["type"] == "lifespan":
        await accept_lifespan(receive, send)
    return await read_request(scope, receive) if scope["type"] == "http" else None


async def wait_for_disconnect(receive: Receive) -> None:
    """Return once the caller's connection is gone."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return


async def send_answer(
    send: Send, status: int, body: bytes, headers: Iterable[tuple[bytes, bytes]] = ()
) -> None:
    """Send a whole answer with its length."""
    all_headers: Headers = [(b"content-length", str(len(body)).encode()), *headers]
    await send({"type": "http.response.start", "status": status, "headers": all_headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def send_json(
    send: Send, status: int, value: object, headers: Iterable[tuple[bytes, bytes]] = ()
) -> None:
    """Send a value as JSON."""
    content_type = (b"content-type", b"application/json")
    await send_answer(send, status, json.dumps(value).encode(), [content_type, *headers])


async def accept_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop notices."""
    while True:
        event = await receive()
        if event["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return


async def serve_until(app: AsgiApp, host: str, port: int, stop: trio.Event) -> None:
    """Serve an application on one TCP address until ``stop`` is set, then drain."""
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.backlog = CONNECTION_BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.graceful_timeout = GRACEFUL_SECONDS
    config.loglevel = "WARNING"
    await serve(app, config, shutdown_trigger=stop.wait)  # type: ignore[arg-type]
