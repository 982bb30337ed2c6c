"""Free loopback ports for the processes of a fleet."""

from __future__ import annotations

import socket
import threading

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 20000
HIGHEST_PORT = 32000
BLOCK_PORTS = 400

_lock = threading.Lock()
_guards: list[socket.socket] = []
_left: list[int] = []


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and that no other launcher on this machine draws.

    They lie below the range from which the kernel draws ports of outgoing connections, so that a
    killed process finds its own port free again. A port is bound long after it was drawn, so
    launchers side by side keep apart by blocks: each holds the first port of its own.
    """
    with _lock:
        found: list[int] = []
        while len(found) < count:
            if not _left:
                _left.extend(_claim_block())
            port = _left.pop(0)
            if _is_free(port):
                found.append(port)
    return found


def _claim_block() -> range:
    """Claim a block of ports for the life of this process; raises ``OSError`` if none is left."""
    for first in range(LOWEST_PORT, HIGHEST_PORT, BLOCK_PORTS):
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK, first))
            guard.listen()
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        return range(first + 1, first + BLOCK_PORTS)
    raise OSError("no block of ports is free")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
