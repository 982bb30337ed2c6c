"""When a request came to an instance of the test process, step by step."""

from __future__ import annotations

import socket
import struct
import time
from dataclasses import dataclass

from stating_instances import Arrival

TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED_OFFSET = 52
"""Of ``tcpi_last_data_recv`` in ``struct tcp_info``: milliseconds since data came last."""

MILLISECONDS = 1000


@dataclass(slots=True)
class ArrivalTimes:
    """Steps of a request, in monotonic seconds.

    ``lay_seconds`` is how long the newest bytes had lain in the socket when the first line was
    read: the test process was late by as much.
    """

    accepted_at: float
    first_line_at: float = 0.0
    lay_seconds: float = 0.0
    last_byte_at: float | None = None

    def first_line_read(self, connection: socket.socket) -> None:
        self.first_line_at = time.monotonic()
        self.lay_seconds = seconds_since_data(connection)

    def __str__(self) -> str:
        last = f"{self.last_byte_at:.2f}" if self.last_byte_at is not None else "not read"
        return (
            f"accepted at {self.accepted_at:.2f}, first line read at {self.first_line_at:.2f} "
            f"after {self.lay_seconds:.2f} s in the socket, last byte at {last}"
        )


@dataclass(frozen=True, slots=True)
class TimedArrival(Arrival):
    """A request that came to an instance, with the times of its steps."""

    times: ArrivalTimes


def seconds_since_data(connection: socket.socket) -> float:
    """Return for how long a connection has received no data."""
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    return struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)[0] / MILLISECONDS
