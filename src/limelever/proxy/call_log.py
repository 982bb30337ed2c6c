"""Decision log of the request path: one line per decision about a call, with its reasons."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from limelever.common.decision_log import DecisionLog, DecisionLogSettings
from limelever.common.errors import Failure
from limelever.common.sansio import LogEvent, Output
from limelever.protocol.keys import tenant_key
from limelever.proxy import events
from limelever.proxy.call_state import Call, Phase
from limelever.proxy.call_types import CallAnswer, CallRequest
from limelever.proxy.endpoints import EndpointEntry

_MILLISECONDS = 1000.0


class CallLog:
    """Appends log lines to a core's outputs, within the volume limits of the decision log."""

    def __init__(self, settings: DecisionLogSettings, outputs: list[Output]) -> None:
        self._log = DecisionLog(settings)
        self._outputs = outputs

    def not_admitted(
        self,
        request: CallRequest,
        failure: Failure,
        version: int,
        confirmed_at: float | None,
        now: float,
    ) -> None:
        """Log a call that was rejected at admission.

        ``version`` is that of the route table, 0 for none; ``confirmed_at`` is when the table was
        last confirmed current, ``None`` for never.
        """
        fields: dict[str, object] = {
            "route": "",
            "version": version,
            "service": "",
            **_failure_fields(failure),
            "attempts": 0,
            "milliseconds": 0,
        }
        fields.update(_tenant_field(failure))
        if confirmed_at is not None:
            fields["configuration_age_milliseconds"] = _milliseconds(now - confirmed_at)
        lines = self._log.failure(events.CALL_FAILED, request.request_id, fields, now)
        self._outputs.extend(lines)

    def attempt_sent(
        self, call: Call, entry: EndpointEntry, choices: int, in_flight: int, now: float
    ) -> None:
        """Log the endpoint chosen for an attempt, out of ``choices`` usable ones.

        ``in_flight`` is the number of this proxy's calls in flight at the endpoint.
        """
        call.last_instance = entry.key.instance
        if not self._log.follows(call.request.request_id):
            return
        fields: dict[str, object] = {
            "service": entry.key.service,
            "instance": entry.key.instance,
            "zone": entry.zone,
            "choices": choices,
            "own_in_flight": in_flight,
            "endpoint_age": round(now - entry.reported_at, 3),
            "milliseconds_left": _milliseconds(call.deadline - now),
        }
        lines = self._log.success(events.ATTEMPT_SENT, call.request.request_id, fields)
        self._outputs.extend(lines)

    def attempt_failed(self, call: Call, failure: Failure, retrying: bool, now: float) -> None:
        """Log an attempt that failed and whether the call is retried."""
        fields: dict[str, object] = {
            "service": call.destination.service,
            "instance": call.last_instance,
            "kind": failure.kind.value,
            "outcome": failure.outcome.value,
            "reason": failure.reason,
            "goes_on": retrying,
            "milliseconds": _milliseconds(now - call.arrived_at),
        }
        lines = self._log.failure(events.ATTEMPT_FAILED, call.request.request_id, fields, now)
        self._outputs.extend(lines)

    def caller_gone(self, call: Call, now: float) -> None:
        """Log that the caller disconnected before its answer."""
        fields: dict[str, object] = {"phase": call.phase.name.lower()}
        lines = self._log.failure(events.CALLER_GONE, call.request.request_id, fields, now)
        self._outputs.extend(lines)

    def ended(self, call: Call, answer: CallAnswer | Failure, now: float) -> None:
        """Log the final answer of a call."""
        fields: dict[str, object] = {
            "route": call.route.name,
            "version": call.version,
            "service": call.destination.service,
            "attempts": call.attempts,
            "milliseconds": _milliseconds(now - call.arrived_at),
        }
        if call.tenant:
            fields["tenant"] = call.tenant
        request_id = call.request.request_id
        if isinstance(answer, Failure):
            fields.update(_failure_fields(answer))
            self._outputs.extend(self._log.failure(events.CALL_FAILED, request_id, fields, now))
        elif self._log.follows(request_id):
            fields["status"] = answer.status
            self._outputs.extend(self._log.success(events.CALL_ANSWERED, request_id, fields))


def open_calls_event(calls: Sequence[Call], now: float) -> LogEvent:
    """Return the log event for calls still open shortly before the process exits."""
    phases = Counter(call.phase for call in calls)
    oldest = min(call.arrived_at for call in calls)
    fields: dict[str, object] = {phase.name.lower(): phases[phase] for phase in Phase}
    fields["oldest_milliseconds"] = _milliseconds(now - oldest)
    return LogEvent(events.CALLS_OPEN_AT_STOP, fields)


def _failure_fields(failure: Failure) -> dict[str, object]:
    return {
        "kind": failure.kind.value,
        "outcome": failure.outcome.value,
        "reason": failure.reason,
        "retry_after": round(failure.retry_after, 3),
    }


def _tenant_field(failure: Failure) -> dict[str, object]:
    """Return the log field naming the tenant that a refusal is about, if any."""
    prefix = str(tenant_key(""))
    names = [each.removeprefix(prefix) for each in failure.resources if each.startswith(prefix)]
    return {"tenant": names[0]} if names else {}


def _milliseconds(seconds: float) -> int:
    return int(seconds * _MILLISECONDS)
