"""Probes silent links to agents, and carries out what follows when one becomes suspect."""

from __future__ import annotations

from limelever.common.deadlines import earliest
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    Event,
    LogEvent,
    MessageReceived,
    Output,
    SendMessage,
)
from limelever.protocol.calls_pb2 import LinkProbe
from limelever.proxy import events
from limelever.proxy.agent_links import AgentLinks
from limelever.proxy.call_state import CallTable
from limelever.proxy.call_types import ReportSuspects, SuspectLinksChanged
from limelever.proxy.calls import CallEngine
from limelever.proxy.link_silence import LinkSilence, StepKind
from limelever.proxy.reported_suspects import REPEAT_SECONDS


class SilentLinks:
    """Connects the decisions of ``LinkSilence`` with links and calls; times in seconds."""

    def __init__(
        self,
        silence: LinkSilence,
        links: AgentLinks,
        calls: CallTable,
        engine: CallEngine,
        outputs: list[Output],
    ) -> None:
        self._silence = silence
        self._links = links
        self._calls = calls
        self._engine = engine
        self._outputs = outputs
        self._report_at: float | None = None

    def observe(self, event: Event, now: float) -> None:
        """Take notice of a message on any connection, and of the end of one."""
        match event:
            case MessageReceived(connection, _):
                if self._silence.heard(connection, now):
                    self._log(events.LINK_NO_LONGER_SUSPECT, connection)
                    self._report_count()
            case ConnectionClosed(connection) | ConnectionFailed(connection):
                if self._silence.closed(connection):
                    self._report_count()

    def next_deadline(self) -> float | None:
        """Return when :meth:`wake` must be called next, or ``None``."""
        return earliest(self._silence.next_deadline(), self._report_at)

    def wake(self, now: float) -> None:
        """Send the probes that are due, and move calls away from links that become suspect."""
        due = self._silence.next_deadline()
        if due is not None and now >= due:
            self._check(now)
        if self._report_at is not None and now >= self._report_at:
            self._report_suspects(now)

    def _check(self, now: float) -> None:
        suspects: list[ConnectionId] = []
        for step in self._silence.check(self._calls.busy_connections(), now):
            if step.kind is StepKind.PROBE:
                probe = LinkProbe(number=step.number)
                self._outputs.append(SendMessage(step.connection, probe))
            else:
                suspects.append(step.connection)
        for connection in suspects:
            self._log(events.LINK_SUSPECT, connection)
            self._engine.link_suspect(connection, now)
        if suspects:
            self._report_count()
            self._report_at = now

    def _report_suspects(self, now: float) -> None:
        """Report to the other proxies which links are suspect, and again while any is."""
        links = self._silence.suspect_links()
        self._report_at = now + REPEAT_SECONDS if links else None
        if links:
            addresses = frozenset(map(self._links.address_of, links))
            self._outputs.append(ReportSuspects(addresses))

    def _log(self, code: int, connection: ConnectionId) -> None:
        fields: dict[str, object] = {
            "agent": str(self._links.address_of(connection)),
            "calls": len(self._calls.on_connection(connection)),
        }
        self._outputs.append(LogEvent(code, fields))

    def _report_count(self) -> None:
        self._outputs.append(SuspectLinksChanged(self._silence.suspects))
