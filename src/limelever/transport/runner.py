"""Runs one sans-io core in trio: links, timers and disk writes around ``handle``."""

from __future__ import annotations

import contextlib
import ssl
from collections import deque
from collections.abc import Callable

import trio
from google.protobuf.message import Message

from limelever.common import events
from limelever.common.errors import Failure
from limelever.common.sansio import (
    AppendLog,
    CloseConnection,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    Core,
    DeadlineReached,
    Event,
    LogEvent,
    MessageReceived,
    OpenConnection,
    Output,
    ReplaceFile,
    ResetLog,
    SendMessage,
    Started,
    StopProcess,
    TruncateLog,
    WriteCompleted,
)
from limelever.common.settings import LinkSettings
from limelever.transport.disk_writer import Disk, DiskWrite, DiskWriter
from limelever.transport.faults import report_fault
from limelever.transport.links import Link, LinkIdentity, dial
from limelever.transport.log import write_event
from limelever.transport.streams import reason_of
from limelever.transport.timer import DeadlineTimer


class CoreRunner:
    """Runs one core. ``on_output`` gets every output that is not of the common contract."""

    def __init__(
        self,
        core: Core,
        *,
        identity: LinkIdentity,
        settings: LinkSettings,
        context: ssl.SSLContext | None,
        on_output: Callable[[Output], None],
        on_failure: Callable[[Failure], None],
        disk: Disk | None = None,
    ) -> None:
        self._core = core
        self._identity = identity
        self._settings = settings
        self._context = context
        self._on_output = on_output
        self._on_failure = on_failure
        self._disk = None if disk is None else DiskWriter(disk, self.post, on_failure)
        self._links: dict[ConnectionId, Link] = {}
        self._dials: dict[ConnectionId, trio.CancelScope] = {}
        self._last_accepted = -1
        self._events: deque[Event] = deque()
        self._handling = False
        self._stopped = False
        self._timer = DeadlineTimer(core.next_deadline, lambda: self.post(DeadlineReached()))
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; started once the core has seen ``Started``."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if self._disk is not None:
                nursery.start_soon(self._disk.run)
            nursery.start_soon(self._timer.run)
            self.post(Started())
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                # What is posted from now on is dropped: a nursery that ends starts nothing.
                self._stopped = True

    def post(self, event: Event) -> None:
        """Give the core an event; safe to call from within ``on_output``.

        After a fault in the core events are dropped: its state can no longer be trusted.
        """
        if self._stopped:
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            self._handle_queued()
        except Exception as error:
            self._stopped = True
            self._timer.stop()
            self._events.clear()
            self._on_failure(report_fault(error))
        finally:
            self._handling = False

    def _handle_queued(self) -> None:
        """Let the core handle what is queued; a fault in it stops the core and the process.

        The event may come from a task that a library guards, such as a request of a caller.
        The fault is caught by :meth:`post` so that it cannot be swallowed there.
        """
        while self._events:
            event = self._events.popleft()
            for output in self._core.handle(event, trio.current_time()):
                self._perform(output)
        self._timer.arm()

    def _perform(self, output: Output) -> None:
        match output:
            case SendMessage(connection, message):
                self._send(connection, message)
            case OpenConnection():
                assert self._nursery is not None
                self._nursery.start_soon(self._dial, output)
            case CloseConnection(connection, reason):
                self._close(connection, reason)
            case AppendLog() | TruncateLog() | ResetLog() | ReplaceFile():
                self._queue_write(output)
            case LogEvent(code, fields):
                write_event(code, fields)
            case StopProcess(failure):
                self._on_failure(failure)
            case _:
                self._on_output(output)

    async def serve(self, link: Link) -> None:
        """Run an accepted link until it ends."""
        self._last_accepted += 2
        await self._run_link(self._last_accepted, link)

    def _send(self, connection: ConnectionId, message: Message) -> None:
        link = self._links.get(connection)
        if link is None:
            return
        if not link.send(message):
            limit = self._settings.send_queue_bytes
            write_event(events.SEND_QUEUE_FULL, {"peer": link.peer_name, "limit": limit})
            self._abort(connection, "send queue full")

    def _close(self, connection: ConnectionId, reason: str) -> None:
        dialling = self._dials.get(connection)
        if dialling is not None:
            dialling.cancel()
        link = self._links.pop(connection, None)
        if link is not None:
            self._report_closed(connection, link, reason)
            link.finish()

    def _abort(self, connection: ConnectionId, reason: str) -> None:
        link = self._links.pop(connection, None)
        if link is not None:
            self._report_closed(connection, link, reason, link.take_unsent())
            link.abort()

    def _report_closed(
        self, connection: ConnectionId, link: Link, reason: str, unsent: tuple[Message, ...] = ()
    ) -> None:
        fields: dict[str, object] = {
            "peer": link.peer_name,
            "purpose": link.purpose,
            "reason": reason,
        }
        write_event(events.LINK_CLOSED, fields)
        self.post(ConnectionClosed(connection, reason, unsent))

    async def _dial(self, output: OpenConnection) -> None:
        with trio.CancelScope() as scope:
            self._dials[output.connection] = scope
            result = await dial(
                output.address, output.purpose, self._identity, self._settings, self._context
            )
        self._dials.pop(output.connection, None)
        if scope.cancelled_caught:
            self.post(ConnectionClosed(output.connection, "dial given up"))
            return
        if isinstance(result, Failure):
            fields: dict[str, object] = {"address": str(output.address), "reason": result.reason}
            write_event(events.DIAL_FAILED, fields)
            self.post(ConnectionFailed(output.connection, result))
            return
        await self._run_link(output.connection, result)

    async def _run_link(self, connection: ConnectionId, link: Link) -> None:
        peer = link.peer
        assert peer is not None
        link.opened()
        write_event(events.LINK_OPENED, {"peer": peer.name, "purpose": link.purpose})
        self._links[connection] = link
        self.post(ConnectionOpened(connection, peer))
        reason = "process is stopping"
        ended = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_write_then_cancel, link, nursery.cancel_scope)
                reason = await self._read(connection, link)
                nursery.cancel_scope.cancel()
            ended = True
        finally:
            link.closed()
            if self._links.pop(connection, None) is not None:
                unsent = link.take_unsent() if ended else ()
                self._report_closed(connection, link, reason, unsent)
            await link.flush_and_close()

    async def _read(self, connection: ConnectionId, link: Link) -> str:
        while True:
            try:
                message = await link.receive()
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
                return f"broken: {reason_of(error)}"
            while message is not None:
                if connection not in self._links:
                    return "closed here"
                if isinstance(message, Failure):
                    return self._refuse_frame(link, message)
                self.post(MessageReceived(connection, message))
                message = link.receive_nowait()
                if message is None:
                    break
            else:
                return "closed by the peer"

    def _refuse_frame(self, link: Link, failure: Failure) -> str:
        fields: dict[str, object] = {
            "peer": link.peer_name,
            "kind": failure.kind.value,
            "reason": failure.reason,
        }
        write_event(events.FRAME_REFUSED, fields)
        return str(failure)

    def _queue_write(self, write: DiskWrite) -> None:
        if self._disk is None:
            self._events.append(WriteCompleted(write.token))
            return
        self._disk.queue(write)


async def _write_then_cancel(link: Link, scope: trio.CancelScope) -> None:
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
        await link.write_queued()
    scope.cancel()
