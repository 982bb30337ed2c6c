"""Ends attempts and reports their outcome to the balancer and the endpoint view."""

from __future__ import annotations

from limelever.common.departed_runs import DepartedRun
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import LogEvent, Output
from limelever.protocol.calls_pb2 import AgentLoad
from limelever.proxy import events
from limelever.proxy.answer_assembly import AnswerAssembly
from limelever.proxy.balancer import Balancer
from limelever.proxy.call_state import NOT_SENT, Attempt, AttemptEnded, Call, CallTable
from limelever.proxy.call_types import CallAnswer, ReportDeparture
from limelever.proxy.endpoints import EndpointView
from limelever.proxy.health import Verdict
from limelever.proxy.transfer_size import TransferSizes

_MICROSECONDS = 1_000_000
_FAILED_STATUSES = frozenset({500, 502, 504})


class AttemptCompleter:
    """Ends attempts, and reports their outcomes and the load of their endpoints."""

    def __init__(
        self,
        calls: CallTable,
        view: EndpointView,
        balancer: Balancer,
        assembly: AnswerAssembly,
        transfer_sizes: TransferSizes,
        outputs: list[Output],
    ) -> None:
        self._calls = calls
        self._view = view
        self._balancer = balancer
        self._assembly = assembly
        self._transfer_sizes = transfer_sizes
        self._outputs = outputs

    def succeed(self, call: Call, attempt: Attempt, body: bytes, now: float) -> AttemptEnded:
        """End an attempt with the back end's complete answer."""
        answer = CallAnswer(attempt.status, attempt.headers, body)
        failed = attempt.status in _FAILED_STATUSES
        if not failed:
            self._transfer_sizes.observe(call.route.name, len(body))
        self.close(call, attempt, Verdict.FAILED if failed else Verdict.SUCCEEDED, now)
        return AttemptEnded(call, answer)

    def fail(self, call: Call, kind: ErrorKind, reason: str, now: float) -> AttemptEnded:
        """End an attempt with a failure that counts against its endpoint."""
        assert call.attempt is not None
        self.close(call, call.attempt, Verdict.FAILED, now)
        return AttemptEnded(call, Failure(kind, reason))

    def close(self, call: Call, attempt: Attempt, verdict: Verdict, now: float) -> None:
        """End an attempt: release its stream and report the verdict to the balancer."""
        call.attempt = None
        self._assembly.release(attempt)
        if attempt.stream != NOT_SENT:
            self._calls.unbind_stream(attempt)
        key = attempt.entry.key
        latency = now - attempt.started_at
        ejected = self._balancer.attempt_ended(key, verdict, latency, now)
        if ejected:
            fields: dict[str, object] = {
                "service": key.service,
                "instance": key.instance,
                "seconds": ejected,
            }
            self._outputs.append(LogEvent(events.ENDPOINT_EJECTED, fields))

    def record_load(self, call: Call, attempt: Attempt, load: AgentLoad, now: float) -> None:
        """Record the load that an agent reported along with its answer to a call."""
        reported = load.in_flight + load.queued
        key = attempt.entry.key
        self._balancer.observe_load(key, reported, now, load.service_us / _MICROSECONDS)
        self._balancer.observe_slowdown(key, load.pace_permille, now)
        self._balancer.warming.observe(key, load.warm_up_left_ms, now)
        if load.HasField("limit"):
            run = attempt.entry.run
            self._balancer.limited.answered(run, load.limit, load.limit_share, now)
        if load.route_service_us:
            seconds = load.route_service_us / _MICROSECONDS
            self._balancer.observe_route(key, call.route.name, seconds)
        if load.leaving:
            self._retire_run(attempt)
        if load.draining:
            self.retire(attempt)

    def _retire_run(self, attempt: Attempt) -> None:
        """Send no further work to the run of the instance, by whichever agent."""
        run = attempt.entry.run
        if self._view.retire_run(run):
            self._outputs.append(ReportDeparture(DepartedRun(run.instance, run.started_at_ms)))
            key = attempt.entry.key
            fields: dict[str, object] = {"service": key.service, "instance": key.instance}
            self._outputs.append(LogEvent(events.INSTANCE_LEAVING, fields))

    def retire(self, attempt: Attempt) -> None:
        """Send no further work to the incarnation that ran an attempt."""
        key = attempt.entry.key
        if self._view.retire(key, attempt.entry.incarnation):
            fields: dict[str, object] = {"service": key.service, "instance": key.instance}
            self._outputs.append(LogEvent(events.ENDPOINT_DRAINING, fields))
