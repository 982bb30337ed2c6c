"""Orders of rollouts at a control process: taken, read and ended through the replicated state.

A service has one rollout, its newest. It is a resource like any other, so an order, its steps and
its end are committed, survive what the configuration survives, and reach the proxies by its way.
"""

from __future__ import annotations

import secrets
import time
from collections import Counter
from collections.abc import Callable

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import (
    ROLLOUT_STATE_COMPLETED,
    ROLLOUT_STATE_ROLLED_BACK,
    ROLLOUT_STATE_RUNNING,
    Batch,
    Resource,
    Rollout,
)
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_READY, Endpoint
from limelever.protocol.keys import rollout_key, service_key
from limelever.protocol.operators_pb2 import ApplyRequest, GetRequest, GetResponse
from limelever.source.grpc_asgi import Refusal
from limelever.source.operator_desk import OperatorDesk
from limelever.source.operator_door import RequestChecks
from limelever.source.request_records import make_request_id

CHANGE_TRIES = 20
"""Tries of a change on top of the version read: a storm of configurations moves it meanwhile."""

RESENT_WITHIN_MS = 5000
"""Time after an order in which the same order is one that was sent again, also where the rollout is
over; later it is ordered anew. Operators send again for 4 s at most."""

_ID_BYTES = 8
_NANOSECONDS_PER_MILLISECOND = 1_000_000

EndpointsOf = Callable[[str], list[Endpoint]]


class RolloutDesk:
    """Takes orders of rollouts; ``endpoints_of`` names a service's back ends as they are known."""

    def __init__(
        self, desk: OperatorDesk, checks: RequestChecks, endpoints_of: EndpointsOf
    ) -> None:
        self._desk = desk
        self._checks = checks
        self._endpoints_of = endpoints_of

    async def order(self, service: str, target: str, duration_ms: int) -> Rollout | Failure:
        """Begin to move a service's calls to a version; the same order again is answered alike."""

        def begun(held: Rollout | None) -> Rollout | Failure | None:
            if held is not None and _is_same_order(held, target, duration_ms):
                return None
            if held is not None and held.state == ROLLOUT_STATE_RUNNING:
                reason = f"a rollout of {service} to {held.target} is under way"
                return Failure(ErrorKind.CONFLICT, reason)
            return Rollout(
                service=service,
                target=target,
                baseline=self._baseline(service, target, held),
                state=ROLLOUT_STATE_RUNNING,
                ordered_at_ms=unix_ms(),
                duration_ms=duration_ms,
            )

        return await self.change(service, begun)

    async def read(self, service: str) -> Rollout | Failure:
        """Return a service's newest rollout."""
        response = await self._desk.ask(GetRequest(keys=[rollout_key(service).to_message()]))
        if isinstance(response, Failure):
            return response
        held = _rollout_in(response)
        if held is None:
            return Failure(ErrorKind.NOT_FOUND, f"no rollout of {service} was ordered")
        return held

    async def change(
        self, service: str, changed: Callable[[Rollout | None], Rollout | Failure | None]
    ) -> Rollout | Failure:
        """Put what ``changed`` makes of the rollout held; ``None`` says that it is as wanted."""
        keys = [service_key(service).to_message(), rollout_key(service).to_message()]
        for _ in range(CHANGE_TRIES):
            response = await self._desk.ask(GetRequest(keys=keys))
            if isinstance(response, Failure):
                return response
            if not isinstance(response, GetResponse) or keys[0] in response.missing:
                return Failure(ErrorKind.NOT_FOUND, f"service {service} is not known")
            held = _rollout_in(response)
            wanted = changed(held)
            if wanted is None:
                assert held is not None
                return held
            if isinstance(wanted, Failure):
                return wanted
            answer = await self._put(wanted, response.version)
            if not isinstance(answer, Failure):
                return wanted
            if answer.kind is not ErrorKind.CONFLICT:
                return answer
        return Failure(ErrorKind.OVERLOADED, "the configuration changed at each try")

    async def _put(self, rollout: Rollout, version: int) -> Message | Failure:
        batch = Batch(
            request_id=make_request_id(secrets.token_hex(_ID_BYTES), version),
            expected_version=version,
            put=[Resource(rollout=rollout)],
        )
        request = self._checks.checked(ApplyRequest(batch=batch))
        if isinstance(request, Refusal):
            return request.failure
        return await self._desk.ask(request)

    def _baseline(self, service: str, target: str, held: Rollout | None) -> str:
        """Return the version in force: the last rollout's result, or what most back ends are of."""
        if held is not None:
            version = held.target if held.state == ROLLOUT_STATE_COMPLETED else held.baseline
            if version and version != target:
                return version
        ready = [e for e in self._endpoints_of(service) if e.state == ENDPOINT_STATE_READY]
        versions = Counter(e.version for e in ready if e.version not in ("", target))
        return max(versions, key=lambda each: (versions[each], each), default="")


def rolled_back(rollout: Rollout, reason: str) -> Rollout:
    """Return a rollout whose target gets no call any more."""
    return _ended(rollout, ROLLOUT_STATE_ROLLED_BACK, reason)


def completed(rollout: Rollout, reason: str) -> Rollout:
    """Return a rollout whose target alone gets calls."""
    return _ended(rollout, ROLLOUT_STATE_COMPLETED, reason)


def _ended(rollout: Rollout, state: int, reason: str) -> Rollout:
    ended = Rollout()
    ended.CopyFrom(rollout)
    ended.state = state  # type: ignore[assignment]
    ended.reason = reason
    return ended


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds: it outlives a change of the leader."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


def _is_same_order(held: Rollout, target: str, duration_ms: int) -> bool:
    if (held.target, held.duration_ms) != (target, duration_ms):
        return False
    recent = unix_ms() - held.ordered_at_ms < RESENT_WITHIN_MS
    return recent or held.state != ROLLOUT_STATE_ROLLED_BACK


def _rollout_in(response: Message) -> Rollout | None:
    assert isinstance(response, GetResponse)
    for held in response.resources:
        if held.resource.HasField("rollout"):
            return held.resource.rollout
    return None
