"""Polls the platform's list of machines over HTTP for those that are leaving or dead.

The response is a JSON array of ``{"instance", "state", "incarnation"}`` with the states ``live``,
``leaving`` and ``dead``. As the list lags behind, it never marks a machine as live.
"""

from __future__ import annotations

import json
from collections.abc import Callable

import httpcore
import trio

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    MachineNotice,
)
from limelever.relay import events
from limelever.transport.log import write_event

_HTTP_OK = 200
_MAX_INCARNATION = (1 << 64) - 1
_ENDPOINT_STATES = {"leaving": ENDPOINT_STATE_DRAINING, "dead": ENDPOINT_STATE_GONE}


def parse_machines(body: bytes) -> tuple[MachineNotice, ...] | Failure:
    """Return notices of the leaving and dead machines, or a failure if the list is invalid."""
    try:
        machines = json.loads(body)
        return tuple(
            MachineNotice(
                instance=machine["instance"],
                state=_ENDPOINT_STATES[machine["state"]],
                observed_incarnation=min(int(machine["incarnation"]), _MAX_INCARNATION),
            )
            for machine in machines
            if machine["state"] in _ENDPOINT_STATES
        )
    except (ValueError, KeyError, TypeError) as error:
        return Failure(ErrorKind.INVALID_REQUEST, f"invalid platform list: {error!r}")


async def poll_machines(
    address: Address,
    path: str,
    interval: float,
    timeout: float,
    on_notices: Callable[[tuple[MachineNotice, ...]], None],
) -> None:
    """Read the list every ``interval`` seconds until cancelled; failures are logged."""
    url = f"http://{address}{path}"
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while True:
            read = await _read(pool, url, timeout)
            if isinstance(read, Failure):
                write_event(events.PLATFORM_LIST_FAILED, {"reason": read.reason})
            else:
                on_notices(read)
            await trio.sleep(interval)


async def _read(
    pool: httpcore.AsyncConnectionPool, url: str, timeout: float
) -> tuple[MachineNotice, ...] | Failure:
    try:
        with trio.fail_after(timeout):
            response = await pool.request("GET", url)
    except (trio.TooSlowError, httpcore.NetworkError, httpcore.ProtocolError) as error:
        return Failure(ErrorKind.CONNECTION_FAILED, f"platform list request failed: {error!r}")
    if response.status != _HTTP_OK:
        return Failure(
            ErrorKind.CONNECTION_FAILED, f"platform list request failed: status {response.status}"
        )
    return parse_machines(response.content)
