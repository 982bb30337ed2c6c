"""The platform's list of live, leaving and dead machines, which lags behind the truth.

``GET /machines`` answers a JSON list of entries as they stood ``lag`` seconds ago;
``POST /machines`` with one entry changes the truth at once.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

import trio

from limelever_lab.standins import asgi


class MachineState(StrEnum):
    """State of a machine in the platform's eyes."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """One machine: the instance on it, its state and the incarnation that was observed."""

    instance: str
    state: MachineState
    incarnation: int


@dataclass(frozen=True, slots=True)
class PlatformListSettings:
    """Address of the list and its lag in seconds."""

    port: int
    host: str = "127.0.0.1"
    lag: float = 0.0


@dataclass(frozen=True, slots=True)
class _Change:
    time: float
    entry: MachineEntry


class PlatformList:
    """The ASGI application of the list."""

    def __init__(self, settings: PlatformListSettings) -> None:
        self._lag = settings.lag
        self._changes: list[_Change] = []

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one ASGI scope."""
        request = await asgi.take_request(scope, receive, send)
        if request is None:
            return
        if request.path != "/machines":
            await asgi.send_json(send, 404, {"error": "unknown path"})
        elif request.method == "POST":
            await self._change(request, send)
        else:
            entries = self.entries(trio.current_time() - self._lag)
            await asgi.send_json(send, 200, [asdict(entry) for entry in entries])

    def entries(self, time: float) -> list[MachineEntry]:
        """Return the entries as they stood at ``time``."""
        found: dict[str, MachineEntry] = {}
        for change in self._changes:
            if change.time <= time:
                found[change.entry.instance] = change.entry
        return list(found.values())

    async def _change(self, request: asgi.Request, send: asgi.Send) -> None:
        entry = parse_entry(request.body)
        if entry is None:
            await asgi.send_json(send, 400, {"error": "instance, state, incarnation are needed"})
            return
        self._changes.append(_Change(trio.current_time(), entry))
        await asgi.send_json(send, 200, asdict(entry))


def parse_entry(body: bytes) -> MachineEntry | None:
    """Return the entry in a JSON body, or ``None`` when it is malformed."""
    try:
        value = json.loads(body)
        return MachineEntry(
            str(value["instance"]), MachineState(value["state"]), int(value["incarnation"])
        )
    except (ValueError, KeyError, TypeError):
        return None


async def serve_platform_list(settings: PlatformListSettings, stop: trio.Event) -> None:
    """Serve the list until ``stop`` is set."""
    await asgi.serve_until(PlatformList(settings), settings.host, settings.port, stop)
