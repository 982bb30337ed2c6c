"""The platform's list of machines: read over HTTP, and turned into notices.

The answer is a JSON array of ``{"instance", "state", "incarnation"}`` with the states ``live``,
``leaving`` and ``dead``. The list lags, so it only ever marks machines as leaving or dead.
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
_LARGEST_INCARNATION = (1 << 64) - 1
_STATES = {"leaving": ENDPOINT_STATE_DRAINING, "dead": ENDPOINT_STATE_GONE}


def parse_machines(body: bytes) -> tuple[MachineNotice, ...] | Failure:
    """Return the notices of a list, or why it does not parse; live machines make none."""
    try:
        machines = json.loads(body)
        return tuple(
            MachineNotice(
                instance=machine["instance"],
                state=_STATES[machine["state"]],
                observed_incarnation=min(int(machine["incarnation"]), _LARGEST_INCARNATION),
            )
            for machine in machines
            if machine["state"] in _STATES
        )
    except (ValueError, KeyError, TypeError) as error:
        return Failure(ErrorKind.INVALID_REQUEST, f"platform list does not parse: {error!r}")


async def poll_machines(
    address: Address,
    path: str,
    interval: float,
    timeout: float,
    take: Callable[[tuple[MachineNotice, ...]], None],
) -> None:
    """Read the list every ``interval`` seconds for ever; a failure keeps what was last read."""
    url = f"http://{address}{path}"
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while True:
            read = await _read(pool, url, timeout)
            if isinstance(read, Failure):
                write_event(events.PLATFORM_LIST_FAILED, {"reason": read.reason})
            else:
                take(read)
            await trio.sleep(interval)


async def _read(
    pool: httpcore.AsyncConnectionPool, url: str, timeout: float
) -> tuple[MachineNotice, ...] | Failure:
    try:
        with trio.fail_after(timeout):
            response = await pool.request("GET", url)
    except (trio.TooSlowError, httpcore.NetworkError, httpcore.ProtocolError) as error:
        return Failure(ErrorKind.CONNECTION_FAILED, f"platform list: {error!r}")
    if response.status != _HTTP_OK:
        return Failure(ErrorKind.CONNECTION_FAILED, f"platform list: status {response.status}")
    return parse_machines(response.content)
