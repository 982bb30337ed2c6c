"""One HTTP/1.1 connection of a caller, on a bare socket, which tells how each answer ended."""

from __future__ import annotations

import re
import select
import socket
import time
from dataclasses import dataclass, field

WHOLE, CUT, CLOSED, RESET, SILENT = "whole", "cut", "closed", "reset", "silent"
"""How an answer ended: it came whole; some of it came; the connection was closed, or reset, before
any byte; the caller waited no longer."""

CONNECT_SECONDS = 1.0
READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]+")


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller got for one request; status 0 says that no whole head came."""

    end: str
    received: int = 0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


class ReplyEndedError(Exception):
    """The connection, or the caller's patience, ended before the reply did."""

    def __init__(self, end: str) -> None:
        super().__init__(end)
        self.end = end


class KeptConnection:
    """Sends requests and reads their answers in order; raises ``OSError`` if it can't be opened."""

    def __init__(self, host: str, port: int) -> None:
        self._socket = socket.create_connection((host, port), CONNECT_SECONDS)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = bytearray()
        self.opened_at = time.monotonic()
        self.port = self._socket.getsockname()[1]

    def close(self) -> None:
        self._socket.close()

    def send(self, data: bytes, seconds: float) -> bool:
        """Return whether the system took all bytes in time."""
        self._socket.settimeout(seconds)
        try:
            self._socket.sendall(data)
        except OSError:
            return False
        return True

    def idle(self) -> str:
        """Return what an idle connection shows: nothing, that it was closed, or bytes not due."""
        if self._buffer:
            return "bytes that no request asked for"
        if not select.select([self._socket], [], [], 0)[0]:
            return ""
        try:
            return "bytes that no request asked for" if self._socket.recv(1) else CLOSED
        except OSError:
            return RESET

    def read(self, until: float) -> Reply:
        """Read the next answer, until ``until`` (monotonic seconds) at the latest."""
        taken = bytearray()
        status, headers = 0, {}
        try:
            status, headers = self._head(taken, until)
            body = self._body(headers, taken, until)
        except ReplyEndedError as ended:
            received = len(taken) + len(self._buffer)
            end = CUT if received and ended.end != SILENT else ended.end
            return Reply(end, received, status, headers)
        return Reply(WHOLE, len(taken), status, headers, body)

    def _head(self, taken: bytearray, until: float) -> tuple[int, dict[str, str]]:
        head = self._take_through(HEAD_END, taken, until).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        pairs = (line.split(":", 1) for line in lines)
        return int(first.split()[1]), {name.lower(): value.strip() for name, value in pairs}

    def _body(self, headers: dict[str, str], taken: bytearray, until: float) -> bytes:
        if "content-length" in headers:
            return self._take(int(headers["content-length"]), taken, until)
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return b""
        body = bytearray()
        while True:
            line = self._take_through(LINE_END, taken, until)
            size = int(CHUNK_SIZE.match(line)[0], 16)
            piece = self._take(size + len(LINE_END), taken, until)
            if not size:
                return bytes(body)
            body += piece[:size]

    def _take_through(self, mark: bytes, taken: bytearray, until: float) -> bytes:
        while mark not in self._buffer:
            self._receive(until)
        return self._take(self._buffer.index(mark) + len(mark), taken, until)

    def _take(self, count: int, taken: bytearray, until: float) -> bytes:
        while len(self._buffer) < count:
            self._receive(until)
        piece = bytes(self._buffer[:count])
        del self._buffer[:count]
        taken += piece
        return piece

    def _receive(self, until: float) -> None:
        left = until - time.monotonic()
        if left <= 0:
            raise ReplyEndedError(SILENT)
        self._socket.settimeout(left)
        try:
            data = self._socket.recv(READ_BYTES)
        except TimeoutError:
            raise ReplyEndedError(SILENT) from None
        except OSError:
            raise ReplyEndedError(RESET) from None
        if not data:
            raise ReplyEndedError(CLOSED)
        self._buffer += data
