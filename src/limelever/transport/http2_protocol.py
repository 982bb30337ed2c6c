"""hypercorn's HTTP/2 with limits on what a client can make it hold.

hypercorn announces the limit on header lists, but leaves h2's own in force. PRIORITY is ignored, as
RFC 9113 (section 5.3.2) allows: all streams weigh the same.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import trio
from h2.errors import ErrorCodes
from h2.events import PriorityUpdated
from h2.exceptions import ProtocolError
from h2.utilities import SizeLimitDict
from hypercorn.events import Closed, Event, RawData
from hypercorn.protocol.h2 import H2Protocol

from limelever.transport.http2_frames import FrameGuard

_CLOSED_STREAMS = 2048
"""Closed streams that a connection remembers; h2's 65,536 take some megabytes."""


class Http2Protocol(H2Protocol):
    """The protocol of one connection.

    ``report`` is called with the reason before a connection is closed for what its client sends.
    """

    def __init__(
        self,
        *arguments: Any,
        guard: FrameGuard,
        report: Callable[[str], None],
    ) -> None:
        super().__init__(*arguments)
        connection = self.connection
        connection.decoder.max_header_list_size = self.config.h2_max_header_list_size
        connection._closed_streams = SizeLimitDict(size_limit=_CLOSED_STREAMS)
        self._guard = guard
        self._report = report

    async def handle(self, event: Event) -> None:
        """Handle what the client sent, unless it breaks a limit."""
        if not isinstance(event, RawData) or not event.data:
            await super().handle(event)
            return
        for part in self._guard.parts(event.data, trio.current_time()):
            if self.closed:
                return
            await super().handle(RawData(part))
        if self._guard.reason is not None and not self.closed:
            await self._end(self._guard.reason)

    async def _end(self, reason: str) -> None:
        """Close the connection; the client is told that it asks for too much."""
        self._report(reason)
        with suppress(ProtocolError):
            self.connection.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
        await self._flush()
        await self.send(Closed())

    def dispose(self) -> None:
        """Break the cycle of h2's connection, whose memory would wait for a garbage collection."""
        self.connection._frame_dispatch_table.clear()

    async def _priority_updated(self, event: PriorityUpdated) -> None:
        """Ignore the order that a client asks for."""
