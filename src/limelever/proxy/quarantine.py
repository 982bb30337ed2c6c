"""Quarantines requests that crash back ends, and releases those that are answered.

Requests are identified by digest. Nothing is computed until the first crash is known; from then on
each call costs a digest of its head, and one of its body if a request with the same head is known.
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

CRASHES_ENDING_RETRIES = 2
"""Crashes of a request in a row after which a call is not retried. One retry is allowed, because
the request may merely have shared a back end with the one that crashed it."""

_MIN_SERVER_ERROR_STATUS = 500


class SendCrashNews(Output, frozen=True):
    """Crash news to send to the relay, which distributes them."""

    news: CrashNews


class Quarantine:
    """Quarantine decisions of one proxy; times in seconds.

    Each proxy lets a quarantined request through again after a random time of one to two quarantine
    periods, with one trial call at a time. The proxy that is first reports the outcome to the
    others.
    """

    def __init__(self, random_source: random.Random, outputs: list[Output]) -> None:
        self._history = CrashHistory()
        self._random = random_source
        self._outputs = outputs
        self._trial_times: dict[tuple[int, int], float] = {}
        self._trials: dict[int, int] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no crashes are known, so that calls need no check."""
        return not len(self._history)

    def refusal(self, call: Call, now: float) -> Failure | None:
        """Return why a call must not reach a back end now, or ``None`` if it may.

        A call of a quarantined request that may proceed becomes the request's only trial.
        """
        record = self._record_of(call)
        if record is None or not record.is_quarantined:
            return None
        request = record.fingerprint.request
        if request in call.destination.released_requests:
            return None
        remaining = self._trial_time(record) - now
        if remaining <= 0 and self._trials.setdefault(request, call.number) == call.number:
            return None
        reason = (
            f"{record.consecutive_crashes} back ends in a row crashed while handling this request"
        )
        retry_after = max(remaining, quarantine_duration(record.consecutive_crashes) / 2)
        return Failure(ErrorKind.QUARANTINED, reason, retry_after=retry_after)

    def may_retry(self, call: Call) -> bool:
        """Return whether a call whose back end crashed may be sent to another one."""
        record = self._record_of(call)
        return record is None or record.consecutive_crashes < CRASHES_ENDING_RETRIES

    def known_depth(self, call: Call) -> int:
        """Return how many back ends in a row are known to have crashed on a call's request."""
        record = self._record_of(call)
        return 0 if record is None else record.consecutive_crashes

    def record_crash(self, ended: AttemptEnded, now: float) -> bool:
        """Record that a back end crashed while handling a call of this proxy.

        Return whether the call's request is quarantined now.
        """
        request = ended.call.request
        service = ended.call.destination.service
        fingerprint = Fingerprint.of(service, request.method, request.target, request.body)
        suspect = SuspectRequest(fingerprint, ended.known_depth)
        changed = self._history.add_crash((suspect,), ended.crash, now)
        if not changed:
            return False
        self._outputs.append(SendCrashNews(self._history.update_for(changed, now)))
        return self._log_changes(changed, {})

    def record_answer(self, call: Call, status: int, now: float) -> None:
        """Clear a call's request after a back end answered it, because its process survived.

        A server error, such as one at the call's deadline, may have been sent before a crash and
        clears nothing.
        """
        if status >= _MIN_SERVER_ERROR_STATUS:
            return
        record = self._record_of(call)
        if record is None:
            return
        was_quarantined, request = record.is_quarantined, record.fingerprint.request
        if self._history.clear(request):
            self._outputs.append(SendCrashNews(self._history.update_for((request,), now)))
            if was_quarantined:
                self._log_cleared(request)

    def release_trial(self, call: Call) -> None:
        """Allow another trial of a call's request after the call has ended."""
        if not self._trials:
            return
        for request in [key for key, number in self._trials.items() if number == call.number]:
            del self._trials[request]

    def apply_news(self, news: CrashNews, now: float) -> bool:
        """Merge crash news from a relay; return whether any request they change is quarantined.

        A relay that sends full news may have just restarted, so it is sent what it lacks.
        """
        if news.full:
            missing = self._history.missing_from(news)
            if missing:
                self._outputs.append(SendCrashNews(self._history.update_for(missing, now)))
        before = {each.request: self._is_quarantined(each.request) for each in news.suspects}
        changed = self._history.merge(news, now)
        return self._log_changes(changed, before)

    def expire(self, now: float) -> None:
        """Drop outdated crash records."""
        expired = set(self._history.expire(now))
        for key in [key for key in self._trial_times if key[0] in expired]:
            del self._trial_times[key]

    def _record_of(self, call: Call) -> CrashRecord | None:
        """Return what is known of a call's request; its body is hashed only for a known head."""
        if self.is_empty:
            return None
        request = call.request
        if not call.head_digest:
            call.head_digest = head_digest(call.destination.service, request.method, request.target)
        if not self._history.has_head(call.head_digest):
            return None
        return self._history.get(request_digest(call.head_digest, request.body))

    def _is_quarantined(self, request: int) -> bool:
        record = self._history.get(request)
        return record is not None and record.is_quarantined

    def _trial_time(self, record: CrashRecord) -> float:
        """Return when this proxy may try a quarantined request, drawn again after each crash."""
        key = (record.fingerprint.request, record.consecutive_crashes)
        if key not in self._trial_times:
            factor = 1.0 + self._random.random()
            self._trial_times[key] = (
                record.last_crash_at + quarantine_duration(record.consecutive_crashes) * factor
            )
        return self._trial_times[key]

    def _log_changes(self, changed: list[int], before: dict[int, bool]) -> bool:
        """Log changed requests now quarantined or cleared; return whether any is quarantined."""
        quarantined = False
        for request in changed:
            record = self._history.get(request)
            if record is None:
                continue
            if record.is_quarantined:
                quarantined = True
                self._log_quarantined(record)
            elif before.get(request):
                self._log_cleared(request)
        return quarantined

    def _log_quarantined(self, record: CrashRecord) -> None:
        fields: dict[str, object] = {
            "request": format_digest(record.fingerprint.request),
            "crashes": record.consecutive_crashes,
            "seconds": quarantine_duration(record.consecutive_crashes),
        }
        self._outputs.append(LogEvent(events.REQUEST_QUARANTINED, fields))

    def _log_cleared(self, request: int) -> None:
        fields: dict[str, object] = {"request": format_digest(request)}
        self._outputs.append(LogEvent(events.REQUEST_CLEARED, fields))
