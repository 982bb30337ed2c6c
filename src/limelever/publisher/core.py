"""The publisher: sends each subscriber its scope of the configuration, version by version."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from google.protobuf.message import Message

from limelever.common.sansio import (
    CloseConnection,
    ConnectionClosed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    Event,
    LogEvent,
    MessageReceived,
    Output,
    Purpose,
    SendMessage,
)
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.distribution_pb2 import (
    Ack,
    FreshnessProbe,
    Inventory,
    Reject,
    RetryLater,
    RolloutReport,
    Subscribe,
)
from limelever.protocol.keys import Key
from limelever.publisher import events, rollout
from limelever.publisher.admission import Admission
from limelever.publisher.batching import BatchTimer
from limelever.publisher.freshness import FreshnessProofs, WaitingProbe
from limelever.publisher.heartbeats import Heartbeats, freshness_answer
from limelever.publisher.resources import ResourceTable, Step
from limelever.publisher.rollout import ZoneHolders
from limelever.publisher.scope import Scope
from limelever.publisher.sender import Sender
from limelever.publisher.session import Session, SessionState
from limelever.publisher.sessions import Sessions
from limelever.publisher.settings import PublisherSettings
from limelever.publisher.subscribing import Subscribing
from limelever.publisher.views import ScopeViews

PLANNED_STOP = "planned stop"
_Handler = Callable[[Session, Message, float], list[Output]]


class PublisherCore:
    """Component of the source's and the relay's core; sans-io like them.

    The host passes on every event of accepted links with purpose ``subscription``, carries out or
    passes on the outputs, and handles ``FreshnessNeeded``.
    """

    def __init__(self, settings: PublisherSettings) -> None:
        self._settings = settings
        self._table = ResourceTable(settings.window, settings.window_bytes)
        self._views = ScopeViews(self._table)
        self._sessions = Sessions(self._views)
        self._proofs = FreshnessProofs(settings.proof_timeout)
        self._sender = Sender(self._table, self._sessions, self._views, settings.outstanding)
        self._heartbeats = Heartbeats(
            self._sessions, settings.heartbeat_interval, settings.keep_alive_interval
        )
        self._subscribing = Subscribing(
            self._table,
            self._sessions,
            self._sender,
            Admission(
                settings.admission_rate, settings.admission_burst, settings.retry_after_limit
            ),
            settings.hold_empty,
        )
        self._batch = BatchTimer(settings.batch_delay)
        self._handlers: dict[type[Message], _Handler] = {
            Subscribe: self._on_subscribe,
            Inventory: self._on_inventory,
            Ack: self._on_ack,
            Reject: self._on_reject,
            FreshnessProbe: self._on_probe,
            RolloutReport: self._on_report,
        }

    def __len__(self) -> int:
        """Return the number of subscribers with an open link."""
        return len(self._sessions)

    @property
    def version(self) -> int:
        """The publisher's configuration version."""
        return self._table.version

    def load(
        self, version: int, resources: Iterable[VersionedResource], now: float
    ) -> list[Output]:
        """Load a whole set at ``version``; before the first one subscribers wait or are refused."""
        outputs = self._moved(self._table.load(version, resources), now)
        return [*outputs, *self._subscribing.load(now)]

    def advance(
        self, version: int, put: Iterable[VersionedResource], removed: Iterable[Key], now: float
    ) -> list[Output]:
        """Advance to a higher ``version``; sends at most one batch per ``batch_delay``."""
        if version <= self._table.version:
            raise ValueError(f"version {version} does not follow {self._table.version}")
        return self._moved(self._table.advance(version, put, removed), now)

    def handle(self, event: Event, now: float) -> list[Output]:
        """Handle a link event, a message or ``DeadlineReached``; other events are ignored."""
        if not _leaves_counts(event):
            self._sessions.counts_changed()
        match event:
            case ConnectionOpened(connection, peer) if peer.purpose is Purpose.SUBSCRIPTION:
                self._sessions.open(connection, peer)
                self._heartbeats.start(now)
            case MessageReceived(connection, message):
                return self._on_message(connection, message, now)
            case ConnectionClosed(connection):
                self._sessions.remove(connection)
                self._proofs.forget(connection)
                self._subscribing.forget(connection)
            case DeadlineReached():
                return self._on_deadline(now)
        return []

    def proved_fresh(self, began: float, now: float) -> list[Output]:
        """Record that the set held was current at time ``began``; answers the waiting probes."""
        outputs: list[Output] = []
        for probe in self._proofs.proved(began):
            session = self._sessions.get(probe.connection)
            if session is not None:
                outputs.extend(self._heartbeats.tell(session, self.version))
                answer = freshness_answer(probe.nonce, self.version, 0.0)
                outputs.append(SendMessage(probe.connection, answer))
        needed = self._proofs.begin_if_waited_for(now)
        return [*outputs, needed] if needed else outputs

    def rollout(self, version: int) -> tuple[ZoneHolders, ...]:
        """Return by zone how many proxies and agents hold ``version`` or lag behind it."""
        return rollout.by_zone(self._sessions.holders(self.version), version)

    def rollout_report(self) -> RolloutReport:
        """Return the counts of all downstream subscribers, for the upstream publisher."""
        return rollout.to_report(self._sessions.holders(self.version))

    def relays(self) -> tuple[str, ...]:
        """Return the names of the subscribers that are publishers themselves, sorted."""
        return tuple(sorted({s.peer.name for s in self._sessions if not s.counts_in_rollout}))

    def scope_of(self, connection: ConnectionId) -> Scope | None:
        """Return the scope of an admitted subscriber, or ``None``."""
        session = self._sessions.get(connection)
        if session is None or session.state is SessionState.OPENED:
            return None
        return session.scope

    def shut_down(self, now: float) -> list[Output]:
        """Ask every subscriber to change to another publisher at once, and close its link."""
        outputs: list[Output] = []
        for session in self._sessions:
            outputs.append(SendMessage(session.connection, RetryLater(reason=PLANNED_STOP)))
            outputs.append(CloseConnection(session.connection, PLANNED_STOP))
        return outputs

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted (seconds, monotonic), or ``None``."""
        deadlines = (
            self._batch.due_at,
            self._heartbeats.next_deadline(),
            self._proofs.next_deadline(),
            self._subscribing.next_deadline(),
        )
        return min((at for at in deadlines if at is not None), default=None)

    def _moved(self, step: Step, now: float) -> list[Output]:
        self._sessions.counts_changed()
        self._views.mark(step)
        self._batch.note(now)
        self._heartbeats.version_moved(now)
        return self._flush(now) if self._batch.due(now) else []

    def _flush(self, now: float) -> list[Output]:
        self._sessions.counts_changed()
        self._batch.taken()
        outputs = self._sender.flush()
        if outputs:
            self._batch.sent(now)
            self._heartbeats.version_moved(now)
        return outputs

    def _on_deadline(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        if self._batch.due(now):
            outputs.extend(self._flush(now))
        outputs.extend(self._heartbeats.on_deadline(self.version, now))
        outputs.extend(self._subscribing.expire(now))
        needed = self._proofs.begin_if_waited_for(now)
        return [*outputs, needed] if needed else outputs

    def _on_message(self, connection: ConnectionId, message: Message, now: float) -> list[Output]:
        session = self._sessions.get(connection)
        handler = self._handlers.get(type(message))
        if session is None or handler is None:
            return []
        return handler(session, message, now)

    def _on_subscribe(self, session: Session, message: Message, now: float) -> list[Output]:
        assert isinstance(message, Subscribe)
        return self._subscribing.subscribe(session, message, now)

    def _on_inventory(self, session: Session, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, Inventory)
        return self._subscribing.compare(session, message)

    def _on_ack(self, session: Session, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, Ack)
        session.acknowledge(message.version)
        return self._sender.catch_up(session)

    def _on_reject(self, session: Session, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, Reject)
        if session.state is not SessionState.FOLLOWING:
            return []
        fields: dict[str, object] = {"peer": session.peer.name, "reason": message.reason}
        return [LogEvent(events.VERSION_REJECTED, fields), *self._sender.rejected(session)]

    def _on_probe(self, session: Session, message: Message, now: float) -> list[Output]:
        assert isinstance(message, FreshnessProbe)
        if message.to_source or self._settings.proves_itself:
            self._proofs.wait(WaitingProbe(session.connection, message.nonce, now))
            needed = self._proofs.begin(now)
            return [needed] if needed else []
        answer = freshness_answer(message.nonce, self.version, self._proofs.age(now))
        told = self._heartbeats.tell(session, self.version)
        return [*told, SendMessage(session.connection, answer)]

    def _on_report(self, session: Session, message: Message, _now: float) -> list[Output]:
        assert isinstance(message, RolloutReport)
        if not session.counts_in_rollout:
            session.reported = rollout.from_report(message)
        return []


def _leaves_counts(event: Event) -> bool:
    """Return whether an event can't change the rollout counts; most messages are probes."""
    if isinstance(event, MessageReceived):
        return isinstance(event.message, FreshnessProbe)
    return isinstance(event, DeadlineReached)
