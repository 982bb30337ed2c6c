"""Makes one call over HTTP as a careful caller would, with resends until its fate is known.

A call that may not be repeated is resent only under its idempotency key. Every answer is checked
against the call: its identifier and the digest of its body must come back.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import httpcore
import trio

from limelever_lab.load.calls import Call
from limelever_lab.load.outcomes import AttemptOutcome, CallRecord, Fate
from limelever_lab.standins.backend import (
    BODY_DIGEST_HEADER,
    CALL_ID_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    body_digest,
)

GROUP_HEADER = "x-limelever-group"
OUTCOME_HEADER = "x-limelever-outcome"
KIND_HEADER = "x-limelever-error"
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
RESEND_PAUSE_SECONDS = 0.1

_NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_CUT_ERRORS = (
    httpcore.ReadError,
    httpcore.WriteError,
    httpcore.RemoteProtocolError,
    httpcore.ReadTimeout,
    httpcore.WriteTimeout,
)
_UNCERTAIN = {AttemptOutcome.UNKNOWN, AttemptOutcome.CUT, AttemptOutcome.ABANDONED}
_FINAL = {AttemptOutcome.ANSWERED, AttemptOutcome.MISMATCHED, AttemptOutcome.RAN}


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """A caller's patience with its call and with one attempt, in seconds.

    ``refusal_patience`` is how long it resends a call that was refused as not run, and
    ``unknown_patience`` how long it asks again under the same key once it was told that the
    outcome is unknown. With ``counts_from_stop`` the first two begin only once no further calls
    are made: a caller then outwaits an outage of any length, and a call is lost only if it has no
    answer although everything is back.
    """

    patience: float = 20.0
    attempt_timeout: float = 5.0
    refusal_patience: float = 0.0
    unknown_patience: float = 3.0
    counts_from_stop: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """What one attempt came to: its outcome, HTTP status and error kind."""

    outcome: AttemptOutcome
    status: int = 0
    kind: str = ""


class Caller:
    """Makes calls to a set of proxies (or back ends), by their base addresses."""

    def __init__(
        self,
        targets: Sequence[str],
        pools: Sequence[httpcore.AsyncConnectionPool],
        settings: CallerSettings,
    ) -> None:
        self._targets = targets
        self._pools = pools
        self._settings = settings
        self._stopped_at: float | None = None

    def stop(self) -> None:
        """Take note that no further calls are made."""
        self._stopped_at = trio.current_time()

    async def make(self, call: Call) -> CallRecord:
        """Make a call and return its record once its fate is known or patience is at an end."""
        started = trio.current_time()
        attempts: list[Attempt] = []
        while True:
            target = (call.first_target + len(attempts)) % len(self._targets)
            attempts.append(await self._attempt(call, target, first=not attempts))
            waited = trio.current_time() - started
            if self._ended(call, attempts, waited, self._patience_used(started)):
                return _record(call, attempts, started, waited)
            await trio.sleep(RESEND_PAUSE_SECONDS)

    def _patience_used(self, started: float) -> float:
        """Return the seconds that count against a call's patience."""
        if not self._settings.counts_from_stop:
            return trio.current_time() - started
        if self._stopped_at is None:
            return 0.0
        return trio.current_time() - max(started, self._stopped_at)

    def _ended(
        self, call: Call, attempts: Sequence[Attempt], waited: float, patience_used: float
    ) -> bool:
        last = attempts[-1].outcome
        if last in _FINAL:
            return True
        if last is AttemptOutcome.UNKNOWN and call.call_class.at_most_once:
            return waited >= self._settings.unknown_patience
        if all(attempt.outcome is AttemptOutcome.NOT_RUN for attempt in attempts):
            return patience_used >= self._settings.refusal_patience
        return patience_used >= self._settings.patience

    async def _attempt(self, call: Call, target: int, first: bool) -> Attempt:
        limit = call.abandon_after if first and call.abandon_after is not None else None
        with trio.move_on_after(limit if limit is not None else float("inf")):
            try:
                return await self._exchange(call, target)
            except _NOT_SENT_ERRORS:
                return Attempt(AttemptOutcome.NOT_SENT)
            except _CUT_ERRORS as error:
                return Attempt(AttemptOutcome.CUT, kind=type(error).__name__)
        return Attempt(AttemptOutcome.ABANDONED)

    async def _exchange(self, call: Call, target: int) -> Attempt:
        timeout = self._settings.attempt_timeout
        response = await self._pools[target].request(
            call.call_class.method,
            self._targets[target] + call.path,
            headers=_headers(call),
            content=call.body,
            extensions={
                "timeout": {"connect": timeout, "read": timeout, "write": timeout, "pool": timeout}
            },
        )
        return judge(call, response)


def _headers(call: Call) -> list[tuple[str, str]]:
    headers = [
        ("host", "limelever.test"),
        ("content-length", str(len(call.body))),
        (CALL_ID_HEADER, call.call_id),
        (GROUP_HEADER, call.call_class.group),
    ]
    if call.key:
        headers.append((IDEMPOTENCY_KEY_HEADER, call.key))
    return headers


def judge(call: Call, response: httpcore.Response) -> Attempt:
    """Tell what an HTTP response means for its call."""
    headers = {name.decode().lower(): value.decode() for name, value in response.headers}
    kind = headers.get(KIND_HEADER, "")
    if response.status == HTTP_OK:
        own = headers.get(CALL_ID_HEADER) == call.call_id
        whole = headers.get(BODY_DIGEST_HEADER) == body_digest(call.body)
        named = call.call_id.encode() in response.content
        outcome = AttemptOutcome.ANSWERED if own and whole and named else AttemptOutcome.MISMATCHED
        return Attempt(outcome, response.status, kind)
    stated = headers.get(OUTCOME_HEADER, "")
    shed_by_backend = response.status == HTTP_UNAVAILABLE and CALL_ID_HEADER not in headers
    if stated == "not-run" or (not kind and shed_by_backend):
        return Attempt(AttemptOutcome.NOT_RUN, response.status, kind)
    if stated == "ran":
        return Attempt(AttemptOutcome.RAN, response.status, kind)
    return Attempt(AttemptOutcome.UNKNOWN, response.status, kind)


def _record(call: Call, attempts: list[Attempt], started: float, waited: float) -> CallRecord:
    outcomes = tuple(attempt.outcome for attempt in attempts)
    return CallRecord(
        call_id=call.call_id,
        key=call.key,
        operation=call.call_class.operation,
        group=call.call_class.group,
        fate=_fate(call, outcomes),
        status=attempts[-1].status,
        kind=attempts[-1].kind,
        attempts=outcomes,
        kinds=tuple(attempt.kind for attempt in attempts),
        started=started,
        seconds=waited,
    )


def _fate(call: Call, outcomes: tuple[AttemptOutcome, ...]) -> Fate:
    last = outcomes[-1]
    if last in {AttemptOutcome.ANSWERED, AttemptOutcome.RAN}:
        return Fate.ANSWERED
    if last is AttemptOutcome.MISMATCHED:
        return Fate.MISMATCHED
    if last is AttemptOutcome.NOT_RUN and _UNCERTAIN.isdisjoint(outcomes):
        return Fate.REFUSED
    if {AttemptOutcome.UNKNOWN, AttemptOutcome.NOT_RUN} & set(outcomes):
        return Fate.UNKNOWN if call.call_class.at_most_once else Fate.FAILED
    return Fate.LOST
