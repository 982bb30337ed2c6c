"""Talks to the control port of a process of hollow nodes."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from typing import Any

from limelever.common.sansio import Address
from limelever_lab.hollow.sample import HollowSample, PurposeCount

ANSWER_SECONDS = 60.0
PURPOSES = ("subscription", "registration")


class HollowClient:
    """Talks to the control port of one process; each request opens a connection of its own."""

    def __init__(self, address: Address) -> None:
        self._address = address

    def sample(self) -> HollowSample:
        """Return the state of the process now."""
        table = self._ask({"command": "sample"})
        for purpose in PURPOSES:
            table[purpose] = PurposeCount(**table[purpose])
        return HollowSample(**table)

    def times(self, version: int) -> list[float | None]:
        """Return when each proxy had the version in force, ``None`` for those that do not yet."""
        times: list[float | None] = self._ask({"command": "times", "version": version})
        return times

    def detach(self) -> None:
        """Take all proxies off their relays."""
        self._ask({"command": "detach"})

    def attach(self) -> None:
        """Bring all proxies back at once."""
        self._ask({"command": "attach"})

    def churn(self, per_second: float) -> None:
        """Restart so many agents a second from now on; 0 for none."""
        self._ask({"command": "churn", "per_second": per_second})

    def _ask(self, request: Mapping[str, object]) -> Any:
        place = (self._address.host, self._address.port)
        with socket.create_connection(place, ANSWER_SECONDS) as connection:
            connection.sendall(json.dumps(request).encode() + b"\n")
            with connection.makefile("rb") as answers:
                return json.loads(answers.readline())
