"""Bounds of an HTTP listener's connections, whichever version their clients speak."""

from __future__ import annotations

from msgspec import Struct

MAX_HEAD_BYTES = 16 * 1024
"""Default for listeners of the system's own tools, whose clients send few headers."""

HEAD_SECONDS = 30.0
"""Time a client has to send a head, from its first byte on; ten times what slow clients take."""

BODY_SECONDS = 30.0
"""Time a client has to send a body; a body of 64 MiB takes 5 s on a link of 100 Mbit/s."""

STREAMS_PER_CONNECTION = 100
"""Requests at a time on an HTTP/2 connection, as RFC 9113 (section 6.5.2) recommends at least."""

HTTP2_CONNECTIONS = 256
"""Connections over HTTP/2 at a listener, of up to some 110 kB each with an incomplete header block.

One connection carries the requests of a whole client process.
"""


class HttpLimits(Struct, frozen=True):
    """Bounds of a connection, in bytes and seconds.

    ``idle`` covers a head that is not whole as well; ``head`` is the time for one head, ``body``
    that for one body, and ``streams`` bounds the requests at a time over HTTP/2.
    """

    idle: float
    max_head_bytes: int = MAX_HEAD_BYTES
    head: float = HEAD_SECONDS
    body: float = BODY_SECONDS
    streams: int = STREAMS_PER_CONNECTION
