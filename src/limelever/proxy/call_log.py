"""The log lines of the request path: one for each decision about a call, with what decided it."""

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
    """Appends lines to a core's outputs, as far as the volume allows."""

    def __init__(self, settings: DecisionLogSettings, outputs: list[Output]) -> None:
        self._log = DecisionLog(settings)
        self._outputs = outputs

    def not_admitted(
        self,
        request: CallRequest,
        failure: Failure,
        version: int,
        proved_at: float | None,
        now: float,
    ) -> None:
        """A call was refused before it was routed, or for want of room.

        ``version`` is of the table held, 0 for none; ``proved_at`` is when that was last known to
        be current, ``None`` for never.
        """
        fields: dict[str, object] = {
            "route": "",
            "version": version,
            "service": "",
            **_failed(failure),
            "attempts": 0,
            "milliseconds": 0,
        }
        fields.update(_limited_tenant(failure))
        if proved_at is not None:
            fields["configuration_age_milliseconds"] = _milliseconds(now - proved_at)
        lines = self._log.failure(events.CALL_FAILED, request.request_id, fields, now)
        self._outputs.extend(lines)

    def attempt_sent(
        self, call: Call, entry: EndpointEntry, choices: int, in_flight: int, now: float
    ) -> None:
        """An endpoint was chosen."""
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

    def attempt_failed(self, call: Call, failure: Failure, goes_on: bool, now: float) -> None:
        """An attempt brought no answer."""
        fields: dict[str, object] = {
            "service": call.part.service,
            "instance": call.last_instance,
            "kind": failure.kind.value,
            "outcome": failure.outcome.value,
            "reason": failure.reason,
            "goes_on": goes_on,
            "milliseconds": _milliseconds(now - call.arrived_at),
        }
        lines = self._log.failure(events.ATTEMPT_ENDED, call.request.request_id, fields, now)
        self._outputs.extend(lines)

    def caller_gone(self, call: Call, now: float) -> None:
        """The caller left."""
        fields: dict[str, object] = {"phase": call.phase.name.lower()}
        lines = self._log.failure(events.CALLER_GONE, call.request.request_id, fields, now)
        self._outputs.extend(lines)

    def ended(self, call: Call, answer: CallAnswer | Failure, now: float) -> None:
        """The call has its final answer."""
        fields: dict[str, object] = {
            "route": call.route.name,
            "version": call.version,
            "service": call.part.service,
            "attempts": call.attempts,
            "milliseconds": _milliseconds(now - call.arrived_at),
        }
        if call.tenant:
            fields["tenant"] = call.tenant
        request_id = call.request.request_id
        if isinstance(answer, Failure):
            fields.update(_failed(answer))
            self._outputs.extend(self._log.failure(events.CALL_FAILED, request_id, fields, now))
        elif self._log.follows(request_id):
            fields["status"] = answer.status
            self._outputs.extend(self._log.success(events.CALL_ANSWERED, request_id, fields))


def open_calls(calls: Sequence[Call], now: float) -> LogEvent:
    """Return the line on calls that are open though the process is about to end."""
    phases = Counter(call.phase for call in calls)
    oldest = min(call.arrived_at for call in calls)
    fields: dict[str, object] = {phase.name.lower(): phases[phase] for phase in Phase}
    fields["oldest_milliseconds"] = _milliseconds(now - oldest)
    return LogEvent(events.CALLS_OPEN_AT_STOP, fields)


def _failed(failure: Failure) -> dict[str, object]:
    return {
        "kind": failure.kind.value,
        "outcome": failure.outcome.value,
        "reason": failure.reason,
        "retry_after": round(failure.retry_after, 3),
    }


def _limited_tenant(failure: Failure) -> dict[str, object]:
    """Return the name of the tenant that a refusal is about, as the lines of its calls have it."""
    prefix = str(tenant_key(""))
    names = [each.removeprefix(prefix) for each in failure.resources if each.startswith(prefix)]
    return {"tenant": names[0]} if names else {}


def _milliseconds(seconds: float) -> int:
    return int(seconds * _MILLISECONDS)
