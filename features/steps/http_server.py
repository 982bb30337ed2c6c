"""HTTP listeners over loopback in a thread, and blocking clients that may break their rules."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import h2.connection
import h2.events
import trio
from hyperframe.frame import DataFrame, SettingsFrame
from transport_server import PATIENCE, EventLog

from limelever.common.sansio import Address
from limelever.transport.admin import serve_admin

HEADERS_OF_1_MIB = b"GET / HTTP/1.1\r\nhost: a\r\n" + b"x-long: " + b"x" * (1 << 20) + b"\r\n\r\n"
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
BROKEN_HTTP2_FRAME = HTTP2_PREFACE + b"\x00\x00\x04\x04\x00\x00\x00\x00\x00\xff\xff\xff\xff"


class HttpServer:
    """A listener in a thread of its own; ``serve`` reports the bound address."""

    def __init__(self, serve: Callable[..., Awaitable[None]]) -> None:
        self.log = EventLog()
        self._serve = serve
        self._ready = threading.Event()
        self._resumed = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._run,), daemon=True)
        self._thread.start()
        assert self._ready.wait(PATIENCE), "the listener did not start"

    def stop(self) -> None:
        """Cancel the listener and wait until it has ended."""
        if not self._thread.is_alive():
            return
        self.in_loop(self._nursery.cancel_scope.cancel)
        self.wait_ended()
        self.log.close()

    def wait_ended(self) -> None:
        self._thread.join(PATIENCE)
        assert not self._thread.is_alive(), "the listener did not stop"

    def in_loop(self, function: Callable[[], None]) -> None:
        """Run a function in the listener's event loop."""
        trio.from_thread.run_sync(function, trio_token=self._token)

    def suspend(self) -> None:
        """Keep the event loop from running, as SIGSTOP would."""
        self._resumed.clear()
        self._token.run_sync_soon(self._resumed.wait, PATIENCE)

    def resume(self) -> None:
        self._resumed.set()

    async def _run(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            bound = await nursery.start(self._serve)
            assert isinstance(bound, Address), bound
            self.address = bound
            self._ready.set()


def admin_server(**options: Any) -> HttpServer:
    """Return the shipped admin listener of a process that is not ready."""
    return HttpServer(partial(serve_admin, Address("127.0.0.1", 0), lambda: False, **options))


class HttpClient:
    """One blocking HTTP/1.1 connection."""

    def __init__(self, address: Address) -> None:
        self.socket = socket.create_connection((address.host, address.port))
        self.socket.settimeout(PATIENCE)

    def send(self, data: bytes) -> None:
        # A server that refuses early may close while the rest is still being sent.
        with contextlib.suppress(ConnectionError):
            self.socket.sendall(data)

    def ask(self, method: str, path: str) -> None:
        self.send(f"{method} {path} HTTP/1.1\r\nhost: a\r\n\r\n".encode())

    def status(self) -> int | None:
        """Read one answer whole and return its status, ``None`` when the server closed."""
        answer = self._read_answer()
        return None if answer is None else answer[0]

    def body(self) -> str:
        """Read one answer whole and return its body."""
        answer = self._read_answer()
        assert answer is not None, "the server closed"
        return answer[1].decode()

    def _read_answer(self) -> tuple[int, bytes] | None:
        with contextlib.suppress(ConnectionError):
            head = self._read_head()
            if not head:
                return None
            lines = head.decode().lower().splitlines()
            lengths = [line.split(":")[1] for line in lines if line.startswith("content-length:")]
            body = b""
            while lengths and len(body) < int(lengths[0]):
                more = self.socket.recv(65536)
                assert more, f"the answer ended after {len(body)} bytes of its body"
                body += more
            return int(lines[0].split()[1]), body
        return None

    def is_readable(self) -> bool:
        """Return whether something has come that was not read."""
        return bool(select.select([self.socket], [], [], 0)[0])

    def is_closed_by_server(self) -> bool:
        """Return whether the server has closed, without waiting for it."""
        readable, _, _ = select.select([self.socket], [], [], 0)
        if not readable:
            return False
        try:
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except ConnectionError:
            return True

    def wait_closed(self) -> None:
        """Read until the server closes; raises ``TimeoutError`` when it does not."""
        with contextlib.suppress(ConnectionError):
            while self.socket.recv(65536):
                pass

    def close(self) -> None:
        self.socket.close()

    def _read_head(self) -> bytes:
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            more = self.socket.recv(1)
            if not more:
                return b""
            data += more
        return data


def ask_over_http2(
    client: HttpClient, path: str, *headers: tuple[str, str]
) -> h2.connection.H2Connection:
    """Send a request whose body may follow; the answer is left unread."""
    protocol = h2.connection.H2Connection()
    protocol.initiate_connection()
    names = {":method": "GET", ":path": path, ":scheme": "http", ":authority": "a"}
    protocol.send_headers(1, [*names.items(), *headers], end_stream=not headers)
    client.send(protocol.data_to_send())
    return protocol


SENDINGS: dict[str, Callable[[HttpClient], None]] = {
    "data on an HTTP/2 stream that was never opened": lambda client: client.send(
        HTTP2_PREFACE + SettingsFrame(0).serialize() + DataFrame(1, b"data").serialize()
    ),
    "half of its headers": lambda client: client.send(b"GET / HTTP/1.1\r\nhost: a\r\nx-"),
    "half of its body": lambda client: client.send(
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\nhalf"
    ),
    "bytes that are not HTTP": lambda client: client.send(b"\x00\x01\x02 not HTTP\r\n\r\n"),
    "headers of 1 MiB": lambda client: client.send(HEADERS_OF_1_MIB),
    "a broken HTTP/2 frame": lambda client: client.send(BROKEN_HTTP2_FRAME),
}
