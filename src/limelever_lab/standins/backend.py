"""A back end: order, catalogue, results or archive service, as the deployments describe them.

It runs calls in a few slots, sheds above slots and queue with 503 and Retry-After, answers with
the call's own identifier and the digest of its body, counts runs, stops work for callers that
leave, and its health and load reports may lag or mislead.
"""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path

import trio

from limelever_lab.standins import asgi
from limelever_lab.standins.behaviour import (
    BackendSettings,
    Operation,
    ServiceTimes,
    find_operation,
)
from limelever_lab.standins.runs import RunJournal
from limelever_lab.standins.slots import ShedError, SlotPool

CALL_ID_HEADER = "x-call-id"
BODY_DIGEST_HEADER = "x-body-digest"
INSTANCE_HEADER = "x-backend-instance"
WORK_SECONDS_HEADER = "x-backend-seconds"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
REPORT_PERIOD_SECONDS = 0.05
REPORTS_KEPT = 1200


def body_digest(body: bytes) -> str:
    """Return the digest by which a caller checks that its own body was answered."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What ``/load`` says: calls running and waiting, and the slots there are."""

    in_flight: int
    queued: int
    slots: int


class WorkOutcome(Enum):
    """What became of a call within the back end."""

    DONE = "done"
    SHED = "shed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class _TimedReport:
    time: float
    report: LoadReport


class Backend:
    """The ASGI application of one instance."""

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._pool = SlotPool(settings.slots, settings.queue)
        self._journal = RunJournal(Path(settings.journal) if settings.journal else None)
        self._times = ServiceTimes(settings, trio.current_time())
        self._reports: deque[_TimedReport] = deque(maxlen=REPORTS_KEPT)
        self._cancelled = 0
        self._shed = 0

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one ASGI scope."""
        try:
            request = await asgi.take_request(scope, receive, send)
        except asgi.ClientGoneError:
            self._cancelled += 1
            return
        if request is None or await self._serve_report(request, send):
            return
        operation = find_operation(self._settings.service, request.method, request.path)
        if operation is None:
            await asgi.send_json(send, 404, {"error": f"{request.method} {request.path} unknown"})
            return
        await self._serve_call(operation, request, receive, send)

    async def sample_reports(self) -> None:
        """Keep a history of load reports, from which the lagging ones are served."""
        while True:
            report = LoadReport(self._pool.in_flight, self._pool.queued, self._settings.slots)
            self._reports.append(_TimedReport(trio.current_time(), report))
            await trio.sleep(REPORT_PERIOD_SECONDS)

    async def _serve_report(self, request: asgi.Request, send: asgi.Send) -> bool:
        if request.path == "/runs":
            await asgi.send_json(send, 200, asdict(self._journal.counts()))
        elif request.path == "/load":
            await asgi.send_json(send, 200, asdict(self._reported_load()))
        elif request.path == "/healthz":
            healthy = self._reported_healthy()
            await asgi.send_json(send, 200 if healthy else 503, {"healthy": healthy})
        elif request.path == "/counts":
            await asgi.send_json(send, 200, {"cancelled": self._cancelled, "shed": self._shed})
        else:
            return False
        return True

    async def _serve_call(
        self, operation: Operation, request: asgi.Request, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        outcome = WorkOutcome.CANCELLED
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_gone, receive, nursery.cancel_scope)
            outcome = await self._work(operation, request)
            nursery.cancel_scope.cancel()
        if outcome is WorkOutcome.CANCELLED:
            self._cancelled += 1
        elif outcome is WorkOutcome.SHED:
            self._shed += 1
            retry_after = str(self._settings.retry_after_seconds).encode()
            await asgi.send_json(send, 503, {"error": "shed"}, [(b"retry-after", retry_after)])
        else:
            await self._send_result(operation, request, send, trio.current_time() - started)

    async def _cancel_when_gone(self, receive: asgi.Receive, scope: trio.CancelScope) -> None:
        await asgi.wait_for_disconnect(receive)
        scope.cancel()

    async def _work(self, operation: Operation, request: asgi.Request) -> WorkOutcome:
        try:
            async with self._pool.slot():
                self._record(request)
                await trio.sleep(self._times.draw(operation, trio.current_time()))
        except ShedError:
            return WorkOutcome.SHED
        return WorkOutcome.DONE

    def _record(self, request: asgi.Request) -> None:
        call_id = request.headers.get(CALL_ID_HEADER, "")
        self._journal.record(call_id, request.headers.get(IDEMPOTENCY_KEY_HEADER, ""))

    async def _send_result(
        self, operation: Operation, request: asgi.Request, send: asgi.Send, seconds: float
    ) -> None:
        call_id = request.headers.get(CALL_ID_HEADER, "")
        digest = body_digest(request.body)
        headers = [
            (CALL_ID_HEADER.encode(), call_id.encode()),
            (BODY_DIGEST_HEADER.encode(), digest.encode()),
            (INSTANCE_HEADER.encode(), self._settings.instance.encode()),
            (WORK_SECONDS_HEADER.encode(), f"{seconds:.6f}".encode()),
        ]
        result = {"operation": operation.name, "call": call_id, "path": request.path}
        await asgi.send_json(send, 200, result, headers)

    def _lagged(self) -> LoadReport:
        wanted = trio.current_time() - self._settings.deception.report_lag
        found = LoadReport(0, 0, self._settings.slots)
        for timed in self._reports:
            if timed.time > wanted:
                break
            found = timed.report
        return found

    def _reported_load(self) -> LoadReport:
        report = self._lagged()
        factor = self._settings.deception.load_factor
        return LoadReport(int(report.in_flight * factor), int(report.queued * factor), report.slots)

    def _reported_healthy(self) -> bool:
        if self._settings.deception.always_healthy:
            return True
        return self._lagged().queued < self._settings.queue


async def serve_backend(settings: BackendSettings, stop: trio.Event) -> None:
    """Serve one back end until ``stop`` is set."""
    backend = Backend(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(backend.sample_reports)
        await asgi.serve_until(backend, settings.host, settings.port, stop)
        nursery.cancel_scope.cancel()
