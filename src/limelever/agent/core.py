"""The agent core: combines registration, configuration, call handling and draining.

One core serves one back end instance. It performs no I/O: the process around it feeds it events
and carries out the outputs that it returns.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence

from msgspec import Struct

from limelever.agent import events
from limelever.agent.call_service import CallLimits, CallService
from limelever.agent.cold_start import ColdStart
from limelever.agent.drain import Drain, DrainLimits, DrainStep
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    BackendChecked,
    BackendGone,
    BackendProbed,
    ConfigurationShared,
    DrainFinished,
    DrainLimitReached,
    DrainRequested,
    LimitStarts,
    RelaysShared,
    RequestBodySent,
    VersionKnown,
)
from limelever.agent.registration import Registration, RegistrationSettings
from limelever.agent.version_outcomes import VersionOutcomeCounter
from limelever.common.byte_budget import ByteBudget
from limelever.common.deadlines import earliest
from limelever.common.sansio import (
    CloseConnection,
    ConnectionClosed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    LogEvent,
    MessageReceived,
    Output,
    Peer,
    Purpose,
    Recovered,
    SendMessage,
    Started,
)
from limelever.common.settings import seconds
from limelever.common.stop_rule import StopBegan
from limelever.protocol.calls_pb2 import (
    CallBody,
    CallCancel,
    CallCredit,
    CallStart,
    LinkProbe,
    LinkProbeAnswer,
)
from limelever.protocol.config_pb2 import Service
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_DRAINING
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.core import SubscriberCore
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    CrashNewsReceived,
    EndpointsReceived,
    FreshnessProved,
    LoadsReceived,
    PublishersListed,
    PublishersReceived,
    VersionConfirmed,
)
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.settings import SubscriberSettings

_IGNORED_NOTICES = (
    ConfigurationInstalled,
    CrashNewsReceived,
    EndpointsReceived,
    FreshnessProved,
    LoadsReceived,
    VersionConfirmed,
)


BY_NODE, BY_RELAY = "node", "relay"
"""Sources of a leave, as they are logged."""

LEAVING_LIMIT_SECONDS = 3600.0
"""Limit of a drain that the instance itself has begun; its running calls end by their deadlines."""


DEPARTED_LINGER_SECONDS = 3.0
"""Minimum time for which calls to a run that has left are refused as draining. Proxies that their
relay has not notified learn it from these refusals, and the instance serves on for some seconds."""


class AgentOptions(Struct, frozen=True):
    """Settings of the agent core.

    Without a ``subscriber`` the process passes its own configuration to the core.

    The endpoint is registered once a health probe has passed, or after ``cold_start_limit``
    seconds: probes may be late or wrong, so they delay the registration but never prevent it.
    """

    registration: RegistrationSettings
    subscriber: SubscriberSettings | None
    calls: CallLimits = CallLimits()
    drain: DrainLimits = DrainLimits()
    cold_start_limit: float = 30.0


class AgentCore:
    """Sans-I/O core of one agent process.

    ``incarnation`` must be higher than in any earlier run of the same instance.
    """

    def __init__(
        self,
        options: AgentOptions,
        incarnation: int,
        generator: random.Random,
        recovered: Recovered | None = None,
        sealer: Sealer | None = None,
        budget: ByteBudget | None = None,
    ) -> None:
        connections = DialledConnections()
        self._options = options
        self._service = options.registration.service
        self._registration = Registration(options.registration, incarnation, connections, generator)
        self._subscriber: SubscriberCore | None = None
        if options.subscriber is not None:
            self._subscriber = SubscriberCore(
                options.subscriber,
                connections,
                itertools.count(1),
                generator,
                recovered or Recovered(),
                sealer,
            )
        registration = options.registration
        self._versions = VersionOutcomeCounter(
            self._service, registration.instance, registration.version
        )
        self._calls = CallService(
            self._service, incarnation, options.calls, generator, self._versions, budget
        )
        self._drain_limit = options.drain.limit
        self._proxies: dict[ConnectionId, Peer] = {}
        self._drain: Drain | None = None
        self._finished = False
        self._cold_start = ColdStart(options.cold_start_limit)

    @property
    def registered(self) -> bool:
        """Return whether the endpoint holds a lease at a relay."""
        return self._registration.leased

    @property
    def version(self) -> int:
        """Return the version of the installed configuration; 0 if there is none."""
        return self._subscriber.version if self._subscriber is not None else 0

    @property
    def fresh_at(self) -> float | None:
        """Return when the configuration was last known to be current (monotonic seconds)."""
        return self._subscriber.fresh_at if self._subscriber is not None else None

    @property
    def running(self) -> int:
        """Return the number of attempts running at the back end."""
        return self._calls.running

    @property
    def waiting(self) -> int:
        """Return the number of accepted calls that have not been started."""
        return self._calls.waiting

    def handle(self, event: Event, now: float) -> Sequence[Output]:
        """Process one event at ``now`` (monotonic seconds) and return the resulting outputs."""
        if self._finished:
            return []
        self._calls.warm_up.observe_event(now)
        outputs = self._handle_event(event, now)
        if self._finished:
            return outputs
        outputs.extend(self._calls.warm_up.take_outputs(now))
        outputs.extend(self._calls.take_limit_outputs())
        outputs.extend(self._begin_drain_of_run(now))
        outputs.extend(self._calls.grant_body_credit(now))
        outputs.extend(self._calls.send_paced_responses(now))
        outputs.extend(
            self._registration.report_crashes(self._calls.backend.take_crash_news(), now)
        )
        outputs.extend(self._registration.handle(event, now))
        if self._registration.run_departed:
            outputs.extend(self._run_departed(BY_RELAY, now))
            outputs.extend(self._begin_drain_of_run(now))
        tally = self._versions.take_report(now)
        outputs.extend(self._registration.report_version_tally(tally) if tally is not None else [])
        outputs.extend(self._handle_subscription(event, now))
        running, load = self._calls.running, self._calls.advertised_load
        pace = self._calls.pace(now)
        outputs.extend(self._registration.report_load(running, load, now, pace))
        outputs.extend(self._registration.set_warm_up(self._calls.warm_up.left_ms(now)))
        outputs.extend(self._registration.set_limit(self._calls.instance_limit.reported, now))
        outputs.extend(self._advance_drain(now))
        return outputs

    def next_deadline(self) -> float | None:
        """Return when the core needs the next ``DeadlineReached``."""
        if self._finished:
            return None
        deadlines = [
            self._calls.next_deadline(),
            self._registration.next_deadline(),
            self._subscriber.next_deadline() if self._subscriber is not None else None,
            self._cold_start.next_deadline(),
            self._calls.warm_up.next_deadline(),
        ]
        if self._drain is not None:
            drain = self._drain
            deadlines.append(drain.next_deadline(self._calls.unfinished, self._calls.waiting))
        return earliest(*deadlines)

    def _handle_event(self, event: Event, now: float) -> list[Output]:
        match event:
            case Started():
                self._cold_start.begin(now)
                self._calls.agent_started(now)
            case MessageReceived(connection, message) if connection in self._proxies:
                return self._handle_proxy_message(connection, message, now)
            case RequestBodySent():
                self._calls.request_body_sent(event)
            case StopBegan():
                self._calls.stop_began(event)
            case AttemptAnswered():
                return self._calls.attempt_answered(event, now)
            case AttemptFailed():
                return self._calls.attempt_failed(event, now)
            case DeadlineReached():
                started = self._calls.start_waiting(now)
                return [*started, *self._register_when_warm(self._cold_start.expire(now), now)]
            case ConnectionOpened() | ConnectionClosed():
                return self._handle_connection_event(event)
            case _:
                changed = self._calls.warm_up.handle(event, now)
                started = self._calls.start_waiting(now) if changed else []
                return [*started, *self._handle_control_event(event, now)]
        return []

    def _handle_control_event(self, event: Event, now: float) -> list[Output]:
        match event:
            case BackendChecked():
                return self._calls.backend_checked(event, now)
            case BackendProbed(healthy):
                stated = self._calls.health_stated(event.signals, now)
                registered = self._register_when_warm(self._cold_start.observe_probe(healthy), now)
                return [*stated, *registered]
            case DrainRequested(run_departed):
                departed = self._run_departed(BY_NODE, now) if run_departed else []
                return [*departed, *self._begin_drain(now, self._drain_limit)]
            case BackendGone():
                self._calls.backend.replaced(now)
                return self._finish(now)
            case DrainLimitReached():
                return self._finish(now)
            case PublishersListed(addresses):
                self._registration.extend_relays(addresses)
            case ConfigurationShared(version, configuration):
                return self._apply_configuration(version, configuration, now)
            case VersionKnown(version, warm_up_left):
                self._versions.set_version(version, warm_up_left, now)
                return self._registration.set_version(version)
            case RelaysShared(received):
                return self._registration.replace_relays(received, now)
        return []

    def _handle_connection_event(self, event: ConnectionOpened | ConnectionClosed) -> list[Output]:
        connection = event.connection
        if isinstance(event, ConnectionOpened):
            return self._accept_proxy(connection, event.peer) if _is_accepted(connection) else []
        peer = self._proxies.pop(connection, None)
        return [] if peer is None else self._calls.proxy_disconnected(connection, peer.name)

    def _accept_proxy(self, connection: ConnectionId, peer: Peer) -> list[Output]:
        if peer.purpose is not Purpose.CALLS:
            return [
                CloseConnection(
                    connection, f"connections for {peer.purpose.value} are not accepted by agents"
                )
            ]
        self._proxies[connection] = peer
        return []

    def _handle_proxy_message(
        self, connection: ConnectionId, message: object, now: float
    ) -> list[Output]:
        match message:
            case CallStart():
                if self._drain is not None:
                    self._drain.call_refused(now)
                return self._calls.start(connection, self._proxies[connection].name, message, now)
            case CallBody():
                return self._calls.body(connection, message, now)
            case CallCredit():
                return self._calls.credit(connection, message)
            case CallCancel():
                return self._calls.cancel(connection, message)
            case LinkProbe(number=number):
                return [SendMessage(connection, LinkProbeAnswer(number=number))]
        return []

    def _handle_subscription(self, event: Event, now: float) -> list[Output]:
        if self._subscriber is None:
            return []
        outputs: list[Output] = []
        for output in self._subscriber.handle(event, now):
            if isinstance(output, ConfigurationInstalled):
                outputs.extend(self._apply_configuration(output.version, output.configuration, now))
            elif isinstance(output, PublishersReceived):
                outputs.extend(self._registration.replace_relays(output, now))
            elif not isinstance(output, _IGNORED_NOTICES):
                outputs.append(output)
        return outputs

    def _apply_configuration(
        self, version: int, configuration: ConfigurationSet, now: float
    ) -> list[Output]:
        service = configuration.services.get(self._service)
        self._calls.set_max_body(service.max_body_bytes if service else 0)
        process_limit = self._options.drain.limit
        service_limit = seconds(service.drain_limit_ms) if service else 0.0
        self._drain_limit = min(process_limit, service_limit) if service_limit else process_limit
        shares = configuration.shares.get(self._service, ())
        self._versions.track_rollout(configuration.rollouts.get(self._service))
        self._calls.set_weights({share.group: share.weight for share in shares})
        tenants = configuration.tenants.values()
        self._calls.set_tenant_rates({each.name: each.rate_per_s for each in tenants})
        fields: dict[str, object] = {"version": version, "groups": len(shares)}
        started = self._configure_warm_up(service, now)
        zone_drain = self._apply_zone_drain(version, configuration, now)
        return [LogEvent(events.SHARES_CHANGED, fields), *zone_drain, *started]

    def _configure_warm_up(self, service: Service | None, now: float) -> list[Output]:
        rate = service.warm_up_calls_per_s if service else 0.0
        warm_up_seconds = seconds(service.warm_up_ms) if service else 0.0
        changed = self._calls.warm_up.configure(rate, warm_up_seconds, now)
        return self._calls.start_waiting(now) if changed else []

    def _apply_zone_drain(
        self, version: int, configuration: ConfigurationSet, now: float
    ) -> list[Output]:
        zone = self._options.registration.zone
        drained = zone in configuration.zone_drains
        if drained == self._calls.zone_drained:
            return []
        fields: dict[str, object] = {"zone": zone, "version": version}
        if not drained:
            log = LogEvent(events.ZONE_DRAIN_ENDED, fields)
            return [log, *self._calls.zone_drain_ended(now)]
        fields |= {"running": self._calls.running, "queued": self._calls.waiting}
        return [LogEvent(events.ZONE_DRAIN_BEGAN, fields), *self._calls.zone_drain_began(now)]

    def _register_when_warm(self, log: LogEvent | None, now: float) -> list[Output]:
        """Register the endpoint once the cold start is over.

        ``log`` is the event of the cold start to be logged, ``None`` if nothing has changed.
        """
        if log is None:
            return []
        if self._drain is not None:
            return [log]
        return [log, *self._registration.start(now)]

    # --- drain ------------------------------------------------------------------------------

    def _run_departed(self, source: str, now: float) -> list[Output]:
        """Refuse new calls, as the run has left; a drain that has begun before is reported anew."""
        departed = self._calls.run_departed(source, now)
        if departed and self._drain is not None:
            self._registration.set_leaving()
            departed.extend(self._registration.change_state(ENDPOINT_STATE_DRAINING, now))
        return departed

    def _begin_drain_of_run(self, now: float) -> list[Output]:
        """Begin to drain if the run has left."""
        if not self._calls.leaving or self._drain is not None:
            return []
        return self._begin_drain(now, LEAVING_LIMIT_SECONDS)

    def _begin_drain(self, now: float, limit: float) -> list[Output]:
        """Begin to drain for at most ``limit`` seconds, or shorten the drain that has begun."""
        if self._drain is not None:
            self._drain.end_by(now + limit)
            return []
        limits = self._options.drain
        linger = DEPARTED_LINGER_SECONDS if self._calls.leaving else 0.0
        self._drain = Drain(DrainLimits(limit, limits.queue, max(limits.linger, linger)), now)
        self._calls.drain_began(now, now + limits.queue)
        self._calls.backend.serves_until = now + limits.queue
        fields: dict[str, object] = {
            "running": self._calls.running,
            "queued": self._calls.waiting,
            "limit_seconds": limit,
        }
        if self._calls.leaving:
            self._registration.set_leaving()
        state_report = self._registration.change_state(ENDPOINT_STATE_DRAINING, now)
        refused = self._calls.refuse_outlasting(now)
        starts = LimitStarts(limits.queue)
        return [LogEvent(events.DRAIN_STARTED, fields), starts, *state_report, *refused]

    def _advance_drain(self, now: float) -> list[Output]:
        if self._drain is None:
            return []
        step = self._drain.next_step(now, self._calls.unfinished, self._calls.waiting)
        if step is DrainStep.REFUSE_QUEUED:
            return [*self._calls.refuse_waiting(), *self._advance_drain(now)]
        if step is DrainStep.FINISH:
            return self._finish(now)
        return []

    def _finish(self, now: float) -> list[Output]:
        self._finished = True
        cut_off = self._calls.running
        outputs = [*self._calls.refuse_waiting(), *self._calls.cancel_running()]
        outputs.extend(
            self._registration.report_crashes(self._calls.backend.take_crash_news(), now)
        )
        outputs.extend(self._registration.stop(now))
        if self._subscriber is not None:
            outputs.extend(self._subscriber.stop(now))
        outputs.extend(CloseConnection(each, "the agent stops") for each in self._proxies)
        self._calls.release_bodies()
        outputs.append(LogEvent(events.DRAIN_FINISHED, {"cut_off": cut_off}))
        outputs.append(DrainFinished(cut_off))
        return outputs


def _is_accepted(connection: ConnectionId) -> bool:
    """Return whether the peer opened the connection; dialled connections have even numbers."""
    return connection % 2 == 1
