"""Listens for links and passes each to the core that serves its purpose."""

from __future__ import annotations

import math
import ssl

import trio
from msgspec import Struct, field

from limelever.common import events
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address, Purpose
from limelever.common.settings import AcceptedCredential, LinkSettings
from limelever.transport.events import HELLO_LIMIT, LINK_LIMIT
from limelever.transport.hello import accept
from limelever.transport.links import Link, LinkIdentity
from limelever.transport.log import write_event
from limelever.transport.runner import CoreRunner
from limelever.transport.streams import client_name, detect_dead_machine, reason_of

_BACKLOG = 1024
_REPORT_SECONDS = 1.0
"""Least time between two events of dropped connections, of which there may be thousands."""


class LinkListener(Struct):
    """Accepts links on one address, for one or more cores."""

    identity: LinkIdentity
    settings: LinkSettings
    accepted: tuple[AcceptedCredential, ...]
    context: ssl.SSLContext | None
    runners: dict[Purpose, CoreRunner] = field(default_factory=dict)
    _open: int = 0
    _newcomers: dict[trio.abc.Stream, None] = field(default_factory=dict)
    _dropped: set[trio.abc.Stream] = field(default_factory=set)
    _reported_at: float = -math.inf
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def open_links(self) -> int:
        """Return the number of open connections, including those without a hello yet."""
        return self._open

    async def serve(
        self,
        address: Address,
        nursery: trio.Nursery,
        task_status: trio.TaskStatus[Address | Failure] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until :meth:`stop`; reports the bound address, or the failure to bind.

        Links run in ``nursery``, so that they outlive the listener at a planned stop.
        """
        try:
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=_BACKLOG
            )
        except OSError as error:
            reason = f"cannot listen on {address}: {error}"
            task_status.started(Failure(ErrorKind.INVALID_SETTINGS, reason))
            return
        port = listeners[0].socket.getsockname()[1]
        with self._scope:
            await trio.serve_listeners(
                self._handle,
                listeners,
                handler_nursery=nursery,
                task_status=_Reported(task_status, Address(address.host, port)),
            )

    def stop(self) -> None:
        """Stop accepting; open links are kept."""
        self._scope.cancel()

    async def _handle(self, accepted: trio.SocketStream) -> None:
        stream: trio.abc.Stream = accepted
        client = client_name(stream)
        if self._open >= self.settings.connections:
            fields: dict[str, object] = {"client": client, "limit": self.settings.connections}
            write_event(LINK_LIMIT, fields)
            await trio.aclose_forcefully(stream)
            return
        self._open += 1
        self._newcomers[accepted] = None
        try:
            if len(self._newcomers) > self.settings.hello_connections:
                await self._drop_oldest()
            detect_dead_machine(accepted, self.settings.unacknowledged_ms)
            if self.context is not None:
                stream = trio.SSLStream(
                    accepted, self.context, server_side=True, https_compatible=True
                )
            link = await accept(
                stream, self.identity, self.settings, self.accepted, self.runners.keys()
            )
            self._newcomers.pop(accepted, None)
            await self._serve(link, client)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            if accepted not in self._dropped:
                _refused(client, Failure(ErrorKind.CONNECTION_LOST, reason_of(error)))
        finally:
            self._open -= 1
            self._newcomers.pop(accepted, None)
            self._dropped.discard(accepted)
            await trio.aclose_forcefully(stream)

    async def _drop_oldest(self) -> None:
        """Close the connection that has waited longest for its hello."""
        oldest = next(iter(self._newcomers))
        del self._newcomers[oldest]
        self._dropped.add(oldest)
        now = trio.current_time()
        if now >= self._reported_at + _REPORT_SECONDS:
            self._reported_at = now
            limit = self.settings.hello_connections
            write_event(HELLO_LIMIT, {"client": client_name(oldest), "limit": limit})
        await trio.aclose_forcefully(oldest)

    async def _serve(self, link: Link | Failure, client: str) -> None:
        if isinstance(link, Failure):
            _refused(client, link)
            return
        assert link.peer is not None
        await self.runners[link.peer.purpose].serve(link)


class _Reported(trio.TaskStatus[object]):
    """Passes the bound address on in place of trio's list of listeners."""

    def __init__(self, status: trio.TaskStatus[Address | Failure], address: Address) -> None:
        self._status = status
        self._address = address

    def started(self, value: object = None) -> None:
        """Report the address."""
        self._status.started(self._address)


def _refused(peer: str, failure: Failure) -> None:
    write_event(
        events.LINK_REFUSED,
        {"peer": peer, "kind": failure.kind.value, "reason": failure.reason},
    )
