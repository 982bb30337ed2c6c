"""Keeps requests from back ends under which others have ended, and clears those that are answered.

Nothing is computed for a call until some back end has ended under one. From then on each call
costs a digest of its head, and one of its body if a request with the same head is known.
"""

from __future__ import annotations

import random

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import LogEvent, Output
from limelever.protocol.endpoints_pb2 import CrashNews
from limelever.proxy import events
from limelever.proxy.call_state import AttemptEnded, Call
from limelever.quarantine.crash_history import CrashHistory, CrashRecord, SuspectRequest
from limelever.quarantine.fingerprint import (
    Fingerprint,
    format_digest,
    head_digest,
    request_digest,
)
from limelever.quarantine.policy import quarantine_duration

CRASHES_OF_ONE_CALL = 2
"""A request under which so many back ends have ended gets no second try within a call: the next
coming decides. After the first a second try serves whoever merely shared the back end."""

_FIRST_FAILED_STATUS = 500


class CrashNewsFound(Output, frozen=True):
    """News for the relay, which passes them on."""

    news: CrashNews


class Quarantine:
    """What one proxy does with the evidence; times in seconds.

    Proxies release a request at times of their own, drawn from once to twice its quarantine, and
    try it with one call at a time: the first to do so tells the others how it ended.
    """

    def __init__(self, random_source: random.Random, outputs: list[Output]) -> None:
        self._evidence = CrashHistory()
        self._random = random_source
        self._outputs = outputs
        self._released_at: dict[tuple[int, int], float] = {}
        self._trials: dict[int, int] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is known, so that calls need not be looked at."""
        return not len(self._evidence)

    def refusal(self, call: Call, now: float) -> Failure | None:
        """Return why a call must not reach a back end now, or ``None`` where it may.

        A call that may go on though its request is convicted is the one trial of its time.
        """
        suspicion = self._suspicion(call)
        if suspicion is None or not suspicion.is_quarantined:
            return None
        request = suspicion.fingerprint.request
        if request in call.destination.released_requests:
            return None
        left = self._release_of(suspicion) - now
        if left <= 0 and self._trials.setdefault(request, call.number) == call.number:
            return None
        reason = (
            f"back ends have ended under this request {suspicion.consecutive_crashes} times"
            " in a row"
        )
        retry_after = max(left, quarantine_duration(suspicion.consecutive_crashes) / 2)
        return Failure(ErrorKind.QUARANTINED, reason, retry_after=retry_after)

    def may_try_again(self, call: Call) -> bool:
        """Return whether a call whose back end has ended may go to another one."""
        suspicion = self._suspicion(call)
        return suspicion is None or suspicion.consecutive_crashes < CRASHES_OF_ONE_CALL

    def known_depth(self, call: Call) -> int:
        """Return how often in a row back ends are known to have ended under a call's request."""
        suspicion = self._suspicion(call)
        return 0 if suspicion is None else suspicion.consecutive_crashes

    def crashed(self, ended: AttemptEnded, now: float) -> bool:
        """Take the end of a back end under a call of this proxy's own.

        Return whether the call's request is convicted, and that is news.
        """
        request = ended.call.request
        service = ended.call.destination.service
        fingerprint = Fingerprint.of(service, request.method, request.target, request.body)
        suspected = SuspectRequest(fingerprint, ended.known_depth)
        changed = self._evidence.add_crash((suspected,), ended.crash, now)
        if not changed:
            return False
        self._outputs.append(CrashNewsFound(self._evidence.update_for(changed, now)))
        return self._log_changes(changed, {})

    def answered(self, call: Call, status: int, now: float) -> None:
        """Take a back end's answer: its process went on, so that nothing counts against the call.

        A failure, such as one at the call's deadline, may have come before the end.
        """
        if status >= _FIRST_FAILED_STATUS:
            return
        suspicion = self._suspicion(call)
        if suspicion is None:
            return
        was_convicted, request = suspicion.is_quarantined, suspicion.fingerprint.request
        if self._evidence.clear(request):
            self._outputs.append(CrashNewsFound(self._evidence.update_for((request,), now)))
            if was_convicted:
                self._log_cleared(request)

    def ended(self, call: Call) -> None:
        """Take the end of a call: another trial of its request may follow."""
        if not self._trials:
            return
        for request in [key for key, number in self._trials.items() if number == call.number]:
            del self._trials[request]

    def take(self, news: CrashNews, now: float) -> bool:
        """Take news of a relay; return whether there are convicted requests among them.

        A relay that tells all it knows is told what it lacks: it may have just started.
        """
        if news.full:
            missing = self._evidence.missing_from(news)
            if missing:
                self._outputs.append(CrashNewsFound(self._evidence.update_for(missing, now)))
        before = {each.request: self._is_convicted(each.request) for each in news.suspects}
        changed = self._evidence.merge(news, now)
        return self._log_changes(changed, before)

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        over = set(self._evidence.expire(now))
        for key in [key for key in self._released_at if key[0] in over]:
            del self._released_at[key]

    def _suspicion(self, call: Call) -> CrashRecord | None:
        """Return what is known of a call's request; its body counts only for a known head."""
        if self.is_empty:
            return None
        request = call.request
        if not call.head_digest:
            call.head_digest = head_digest(call.destination.service, request.method, request.target)
        if not self._evidence.has_head(call.head_digest):
            return None
        return self._evidence.get(request_digest(call.head_digest, request.body))

    def _is_convicted(self, request: int) -> bool:
        held = self._evidence.get(request)
        return held is not None and held.is_quarantined

    def _release_of(self, suspicion: CrashRecord) -> float:
        """Return when this proxy may try a convicted request, drawn once for each number."""
        key = (suspicion.fingerprint.request, suspicion.consecutive_crashes)
        if key not in self._released_at:
            spread = 1.0 + self._random.random()
            self._released_at[key] = (
                suspicion.last_crash_at
                + quarantine_duration(suspicion.consecutive_crashes) * spread
            )
        return self._released_at[key]

    def _log_changes(self, changed: list[int], before: dict[int, bool]) -> bool:
        """Log what turned out convicted or cleared; return whether something is convicted."""
        convicted = False
        for request in changed:
            held = self._evidence.get(request)
            if held is None:
                continue
            if held.is_quarantined:
                convicted = True
                self._log_convicted(held)
            elif before.get(request):
                self._log_cleared(request)
        return convicted

    def _log_convicted(self, suspicion: CrashRecord) -> None:
        fields: dict[str, object] = {
            "request": format_digest(suspicion.fingerprint.request),
            "crashes": suspicion.consecutive_crashes,
            "seconds": quarantine_duration(suspicion.consecutive_crashes),
        }
        self._outputs.append(LogEvent(events.REQUEST_QUARANTINED, fields))

    def _log_cleared(self, request: int) -> None:
        fields: dict[str, object] = {"request": format_digest(request)}
        self._outputs.append(LogEvent(events.REQUEST_CLEARED, fields))
