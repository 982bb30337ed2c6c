"""Connections that send heads outside the limits, or many requests whose responses are unread."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from platform_traffic import HOST_NAME

PART_BYTES = 1 << 16
HEAD_BYTES = 15_000
"""Within the limit of the platform's example, 16 KiB."""

START = f"GET /read/unruly HTTP/1.1\r\nHost: {HOST_NAME}\r\n".encode()
END = b"\r\n"
SHORT_LINES = b"a:\r\n" * (HEAD_BYTES // 4)
DIFFERENT_LINES = b"".join(b"%03x:%03x\r\n" % (number, number) for number in range(HEAD_BYTES // 9))
REQUEST = START + END
INVALID_DEADLINE = b"GET /x HTTP/1.1\r\nHost:one.example\r\nLimelever-Deadline-Ms:x\r\n\r\n"
CONFIG_READ = f"GET /v1/config HTTP/1.1\r\nHost: {HOST_NAME}\r\n\r\n".encode()


@dataclass(frozen=True, slots=True)
class Form:
    """What a connection sends: ``first``, then ``again`` without end.

    ``reads`` says whether it reads responses; ``waits`` whether it sends ``again`` only after one.
    """

    first: bytes
    again: bytes = b""
    reads: bool = True
    waits: bool = False


FORMS = {
    "short lines without end": Form(START, b"a:\r\n" * (PART_BYTES // 4)),
    "short lines in a head that does not end": Form(START + SHORT_LINES),
    "different lines in a head that does not end": Form(START + DIFFERENT_LINES),
    "short lines in whole heads": Form(b"", START + SHORT_LINES + END, waits=True),
    "whole heads one behind the other": Form(b"", START + SHORT_LINES + END),
    "a value without end": Form(START + b"a: ", b"x" * PART_BYTES),
    "a target without end": Form(b"GET /", b"x" * PART_BYTES),
    "empty lines without end": Form(b"", b"\r\n" * (PART_BYTES // 2)),
    "requests whose responses are not read": Form(b"", REQUEST * 64, reads=False),
    "refused requests whose responses are not read": Form(b"", INVALID_DEADLINE * 900, reads=False),
    "reads of the configuration whose responses are not read": Form(
        b"", CONFIG_READ * 256, reads=False
    ),
}


class UnrulyClient:
    """One connection, opened again when the server closes it."""

    def __init__(self, selector: selectors.BaseSelector, address: tuple[str, int], form: Form):
        self._selector, self._address, self._form = selector, address, form
        self._socket: socket.socket | None = None
        self._unsent = memoryview(b"")

    def open(self) -> None:
        self.close()
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.connect_ex(self._address)
        self._unsent = memoryview(self._form.first or self._form.again)
        self._watch()

    def close(self) -> None:
        if self._socket is not None:
            self._selector.unregister(self._socket)
            self._socket.close()
            self._socket = None

    def ready(self, events: int) -> None:
        """Send and receive what is possible; open again once the server has closed."""
        try:
            if events & selectors.EVENT_READ and not self._receive():
                self.open()
                return
            if events & selectors.EVENT_WRITE:
                self._send()
        except BlockingIOError:
            return
        except OSError:
            self.open()

    def _receive(self) -> bool:
        data = self._socket.recv(PART_BYTES)
        if data and self._form.waits and not self._unsent:
            self._unsent = memoryview(self._form.again)
            self._watch()
        return bool(data)

    def _send(self) -> None:
        self._unsent = self._unsent[self._socket.send(self._unsent) :]
        if not self._unsent and self._form.again and not self._form.waits:
            self._unsent = memoryview(self._form.again)
        if not self._unsent:
            self._watch()

    def _watch(self) -> None:
        events = selectors.EVENT_READ if self._form.reads else 0
        events |= selectors.EVENT_WRITE if self._unsent else 0
        with contextlib.suppress(KeyError):
            self._selector.unregister(self._socket)
        self._selector.register(self._socket, events, self)


def send_unruly(
    form: Form, count: int, address: tuple[str, int], seconds: float, lives: Callable[[], bool]
) -> None:
    """Keep ``count`` connections that send ``form``, for some time or until the process ends."""
    with selectors.DefaultSelector() as selector:
        clients = [UnrulyClient(selector, address, form) for _ in range(count)]
        try:
            for client in clients:
                client.open()
            end = time.monotonic() + seconds
            while time.monotonic() < end and lives():
                for key, events in selector.select(0.1):
                    key.data.ready(events)
        finally:
            for client in clients:
                client.close()
