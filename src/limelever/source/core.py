"""The source's core: replicated log, state machine, operators' requests and the publisher."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from google.protobuf.message import Message

from limelever.common.errors import Failure
from limelever.common.sansio import (
    ConnectionClosed,
    DeadlineReached,
    Event,
    MessageReceived,
    Output,
    Recovered,
    SendMessage,
)
from limelever.protocol.distribution_pb2 import RolloutReport
from limelever.protocol.replication_pb2 import LogEntry, SourceSnapshot
from limelever.publisher.core import PublisherCore
from limelever.publisher.settings import PublisherSettings
from limelever.source.at_rest import SecretSealer
from limelever.source.messages import (
    MembersKnown,
    OperatorAnswer,
    OperatorRequest,
    SeedsListed,
    StopRequested,
)
from limelever.source.operator_requests import OperatorRequests
from limelever.source.publication import Publication
from limelever.source.replication.persistence import RecoveredReplica, recover_replica
from limelever.source.replication.replica import Replica
from limelever.source.replication.settings import ReplicationSettings
from limelever.source.state import StateMachine
from limelever.source.zone_drain_log import zone_drain_events


class SourceCore:
    """Sans-io core of a source process, apart from its keeper; made by :meth:`open`."""

    def __init__(
        self,
        settings: ReplicationSettings,
        publisher_settings: PublisherSettings,
        recovered: RecoveredReplica,
        random: Random,
        sealer: SecretSealer,
    ) -> None:
        self._settings = settings
        self._state = StateMachine()
        self._publisher = PublisherCore(publisher_settings)
        self._publication = Publication(self, self._publisher, self._state, sealer)
        self._replica = Replica(settings, recovered, random, self)
        self._operators = OperatorRequests(
            self, settings, self._replica, self._state, self._publisher
        )
        self._report_interval = publisher_settings.report_interval
        self._periodic_due = 0.0
        self._reads: dict[int, Callable[[bool], None]] = {}
        self._last_read = 0
        self._member_names: frozenset[str] = frozenset()
        self._known_leader = ""
        self._now = 0.0
        self._outputs: list[Output] = []

    @classmethod
    def open(
        cls,
        settings: ReplicationSettings,
        publisher_settings: PublisherSettings,
        recovered: Recovered,
        random: Random,
        sealer: SecretSealer,
    ) -> SourceCore | Failure:
        """Return the core over what its disk gave back, or DATA_DAMAGED.

        ``random`` must be seeded from the system's entropy outside of simulation: a replica
        with an empty disk draws its identity from it.
        """
        replica = recover_replica(recovered)
        if isinstance(replica, Failure):
            return replica
        return cls(settings, publisher_settings, replica, random, sealer)

    @property
    def replica(self) -> Replica:
        """Return the replica, for its state; events go through :meth:`handle`."""
        return self._replica

    @property
    def state(self) -> StateMachine:
        """Return the state machine, for its state."""
        return self._state

    @property
    def subscriber_count(self) -> int:
        """Return how many subscribers' links are open."""
        return self._publication.subscriber_count

    @property
    def now(self) -> float:
        """Return the time of the current event (seconds, monotonic)."""
        return self._now

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event at time ``now`` (seconds, monotonic) and return what is to be done."""
        self._now = now
        match event:
            case OperatorRequest():
                self._operators.take(event, now)
            case SeedsListed(seeds):
                self._replica.seeds_listed(seeds)
            case StopRequested():
                self._replica.hand_over(now)
                self._publication.stop()
            case _ if self._publication.concerns(event):
                self._publication.handle(event)
            case MessageReceived(connection, RolloutReport() as report):
                self._operators.reports.take(connection, report)
            case _:
                self._replicate(event)
        self._outputs.extend(self._replica.drain())
        self._tell_members()
        self._load_at_new_leader()
        outputs, self._outputs = self._outputs, []
        return outputs

    def _tell_members(self) -> None:
        names = self._replica.member_names
        if names != self._member_names:
            self._member_names = names
            self._outputs.append(MembersKnown(names))

    def _load_at_new_leader(self) -> None:
        """Load the publisher as soon as there is a leader to prove the state current."""
        leader = self._replica.leader
        if leader == self._known_leader:
            return
        self._known_leader = leader
        if leader and not self._publication.loaded:
            self._publication.begin_load()

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted."""
        times = (
            self._replica.next_deadline(),
            self._publisher.next_deadline(),
            self._periodic_due,
        )
        return min(time for time in times if time is not None)

    def _replicate(self, event: Event) -> None:
        if isinstance(event, ConnectionClosed):
            self._operators.reports.forget(event.connection)
        self._outputs.extend(self._replica.handle(event, self._now))
        if isinstance(event, DeadlineReached):
            self._publication.handle(event)
            self._do_periodic()

    # --- what replication asks of its application ---------------------------------------------

    def apply(self, entry: LogEntry) -> None:
        """Apply a committed entry, pass its changes on and answer those who wait for it."""
        if entry.WhichOneof("body") != "batch":
            self._operators.applied(entry, None)
            return
        outcome = self._state.apply(entry.index, entry.batch, entry.rules)
        if outcome.applied is not None:
            self._publication.advance(outcome.applied)
            if self._replica.leading:
                self._outputs.extend(zone_drain_events(outcome.applied))
        self._operators.applied(entry, outcome.answer)

    def snapshot(self) -> SourceSnapshot:
        """Return the state after the last applied entry."""
        return self._state.snapshot()

    def restore(self, snapshot: SourceSnapshot) -> None:
        """Replace the state by a snapshot's."""
        self._state.restore(snapshot)
        self._publication.restored()

    def leadership_lost(self) -> None:
        """Answer open writes that their fate is unknown."""
        self._operators.leadership_lost()

    def read_proved(self, token: int, proved: bool) -> None:
        """Finish a read."""
        self._reads.pop(token)(proved)

    # --- what operators' requests and the publication ask of their host -----------------------

    def answer(self, token: int, answer: Message | Failure) -> None:
        """Give an operator the answer."""
        self._outputs.append(OperatorAnswer(token, answer))

    def emit(self, output: Output) -> None:
        """Have an output carried out."""
        self._outputs.append(output)

    def prove_read(self, done: Callable[[bool], None], now: float) -> None:
        """Call ``done`` once all committed before ``now`` is applied, or the proof has failed."""
        self._last_read += 1
        self._reads[self._last_read] = done
        self._replica.read(self._last_read, now)

    def _do_periodic(self) -> None:
        """Report rollout counts to the leader, and load the publisher until it is loaded."""
        if self._now < self._periodic_due:
            return
        if not self._publication.loaded:
            self._periodic_due = self._now + self._settings.heartbeat_interval
            self._publication.begin_load()
            return
        self._periodic_due = self._now + self._report_interval
        connection = self._replica.connection_to_leader()
        if connection is not None:
            report = self._publisher.rollout_report()
            self._outputs.append(SendMessage(connection, report))
