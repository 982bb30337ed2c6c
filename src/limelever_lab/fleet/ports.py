"""Free loopback ports for the processes of a fleet."""

from __future__ import annotations

import socket
import threading

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 20000
HIGHEST_PORT = 32000

_lock = threading.Lock()
_handed_out: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and were not handed out before by this process.

    They lie below the range from which the kernel draws ports of outgoing connections, so that a
    killed process finds its own port free again. The search starts at a place that the operating
    system's own draw decides, so that fleets run side by side seldom meet.
    """
    with _lock, socket.socket() as drawn:
        drawn.bind((LOOPBACK, 0))
        span = HIGHEST_PORT - LOWEST_PORT
        offset = (drawn.getsockname()[1] * 37) % span
        found: list[int] = []
        for step in range(span):
            port = LOWEST_PORT + (offset + step) % span
            if port not in _handed_out and _is_free(port):
                _handed_out.add(port)
                found.append(port)
                if len(found) == count:
                    return found
    raise OSError(f"fewer than {count} free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
