"""A crowd of clients that break limits: one thread, many connections to one listener."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

SELECT_SECONDS = 0.1
RECEIVE_BYTES = 1 << 16
REOPEN_SECONDS = 0.05
"""Pause of the whole crowd after a round in which nothing could be sent."""


@dataclass(frozen=True, slots=True)
class Form:
    """What each connection does: ``first`` once, then ``again`` without end, if anything."""

    first: bytes
    again: bytes = b""
    reads: bool = False
    dribbles: bool = False
    """Send one byte of ``again`` at a time, a second or so after the last."""


class _Member:
    """One connection of the crowd, opened again when the listener closes it."""

    def __init__(self, address: tuple[str, int], form: Form) -> None:
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)
        self._form = form
        self._parts = self._all_parts()
        self._left = memoryview(b"")
        self._pause_until = 0.0

    def send(self) -> bool:
        """Send what fits; return whether anything did."""
        if time.monotonic() < self._pause_until:
            return False
        if not self._left:
            part = next(self._parts, b"")
            if not part:
                return False
            self._left = memoryview(part)
        try:
            sent = self.socket.send(self._left)
        except BlockingIOError:
            return False
        self._left = self._left[sent:]
        if self._form.dribbles and not self._left:
            self._pause_until = time.monotonic() + 1.0
        return True

    def _all_parts(self) -> Iterator[bytes]:
        yield self._form.first
        while self._form.again:
            if self._form.dribbles:
                for byte in self._form.again:
                    yield bytes((byte,))
            else:
                yield self._form.again


class SocketCrowd:
    """Keeps ``count`` connections of a form open until it is stopped."""

    def __init__(self, address: tuple[str, int], form: Form, count: int) -> None:
        self._address, self._form = address, form
        self._over = threading.Event()
        self._selector = selectors.DefaultSelector()
        self._count = count
        self.opened = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Close all connections."""
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        for _ in range(self._count):
            self._open()
        while not self._over.is_set():
            progress = False
            for key, events in self._selector.select(SELECT_SECONDS):
                progress |= self._serve(key.data, events)
            if not progress:
                self._over.wait(REOPEN_SECONDS)
        for key in tuple(self._selector.get_map().values()):
            key.data.socket.close()
        self._selector.close()

    def _open(self) -> None:
        member = _Member(self._address, self._form)
        self.opened += 1
        events = selectors.EVENT_READ | selectors.EVENT_WRITE
        self._selector.register(member.socket, events, member)

    def _serve(self, member: _Member, events: int) -> bool:
        try:
            if events & selectors.EVENT_READ and self._form.reads:
                with contextlib.suppress(BlockingIOError):
                    if not member.socket.recv(RECEIVE_BYTES):
                        raise ConnectionError
            return bool(events & selectors.EVENT_WRITE) and member.send()
        except OSError:
            self._selector.unregister(member.socket)
            member.socket.close()
            self._open()
            return False
