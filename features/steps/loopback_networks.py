"""Loopback networks that belong to one scenario, also beside other runs of the tests."""

from __future__ import annotations

import random
import socket

LOCK_PORT = 20999
"""Port on the network's last address that is bound while the network is taken; a choice."""


class LoopbackNetwork:
    """Addresses ``127.x.y.1`` to ``127.x.y.253`` that no other run uses before ``close``.

    The system frees the lock with the process, so that a run that was killed leaves none behind.
    """

    def __init__(self, prefix: str, lock: socket.socket) -> None:
        self.prefix, self._lock = prefix, lock

    @classmethod
    def take(cls, draw: random.Random | None = None) -> LoopbackNetwork:
        """Take a network that is free now."""
        draw = draw or random.Random()
        while True:
            prefix = f"127.{draw.randint(1, 254)}.{draw.randint(0, 255)}"
            try:
                return cls(prefix, socket.create_server((f"{prefix}.254", LOCK_PORT)))
            except OSError:
                continue

    def address(self, number: int) -> str:
        """Return the address of a machine, counted from 1."""
        return f"{self.prefix}.{number}"

    def close(self) -> None:
        """Give the network back."""
        self._lock.close()
