"""The byte stream under the back end's HTTP client."""

from __future__ import annotations

import ssl
from typing import Any

import httpcore
import trio

_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)


class BackendStream(httpcore.AsyncNetworkStream):
    """A TCP stream whose writes leave with the next read, so that a request is one send.

    The client writes a request whole before it reads; head and body would otherwise be a system
    call and a packet each. Timeouts of single reads and writes are ignored: the attempt's own
    deadline covers them all.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._outgoing: list[bytes] = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what was written, then return received bytes; raises ``httpcore.ReadError``."""
        if self._outgoing:
            await self._flush()
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except _BROKEN as error:
            raise httpcore.ReadError(str(error.__cause__ or error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Keep bytes until the next read."""
        if buffer:
            self._outgoing.append(buffer)

    async def aclose(self) -> None:
        """Close the stream at once."""
        self.close()

    def close(self) -> None:
        """Close the stream at once; what was not sent is dropped."""
        self._stream.socket.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse: back ends stand beside their agents and are reached in cleartext."""
        raise httpcore.UnsupportedProtocol("TLS to back ends is not supported")

    def get_extra_info(self, info: str) -> Any:
        """Tell whether the stream is readable; nothing else is known."""
        return self._stream.socket.is_readable() if info == "is_readable" else None

    async def _flush(self) -> None:
        """Send what was written; a break is left to the read, for an answer may have come first."""
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        try:
            await self._stream.send_all(data)
        except _BROKEN:
            return
