"""The control port of a process of hollow nodes: a JSON request a line, a JSON answer a line."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

import trio

from limelever.common.sansio import Address
from limelever_lab.hollow.node_set import NodeSet
from limelever_lab.hollow.sample import take_sample

LINE_BYTES = 1 << 20


class ControlServer:
    """Serves the control port."""

    def __init__(self, nodes: NodeSet) -> None:
        self._nodes = nodes
        self._churn_period = 0.0
        self._churn_wake = trio.Event()

    async def serve(self, address: Address) -> None:
        """Listen until cancelled."""
        await trio.serve_tcp(self._handle, address.port, host=address.host)

    async def churn(self) -> None:
        """Restart agents at the rate asked for, until cancelled."""
        while True:
            if self._churn_period <= 0.0:
                self._churn_wake = trio.Event()
                await self._churn_wake.wait()
                continue
            self._nodes.restart_agent()
            await trio.sleep(self._churn_period)

    def answer(self, request: Mapping[str, Any]) -> object:
        """Carry out one request; an unknown one is answered with an error."""
        match request:
            case {"command": "sample"}:
                return asdict(take_sample(self._nodes))
            case {"command": "times", "version": int(version)}:
                return self._nodes.times(version)
            case {"command": "detach"}:
                self._nodes.detach()
            case {"command": "attach"}:
                self._nodes.attach()
            case {"command": "churn", "per_second": int() | float() as rate}:
                self._churn_period = 1.0 / rate if rate > 0 else 0.0
                self._churn_wake.set()
            case _:
                return {"error": "unknown command"}
        return {}

    async def _handle(self, stream: trio.SocketStream) -> None:
        pending = b""
        while len(pending) < LINE_BYTES:
            try:
                data = await stream.receive_some(LINE_BYTES)
                if not data:
                    return
                *lines, pending = (pending + data).split(b"\n")
                for line in lines:
                    answer = self.answer(json.loads(line))
                    await stream.send_all(json.dumps(answer).encode() + b"\n")
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
