"""Calls sent straight to an agent over a link, as a proxy would: the path without the edge."""

from __future__ import annotations

import time

import trio

from limelever.common.errors import Failure
from limelever.common.sansio import Address, Purpose, Role
from limelever.common.settings import LinkSettings
from limelever.protocol.calls_pb2 import CallStart, Header, ResponseStart
from limelever.protocol.config_pb2 import CALL_KIND_REPEATABLE
from limelever.transport.links import Link, LinkIdentity, dial
from limelever_lab.bench_calls.client import HTTP_OK, CallTimes
from limelever_lab.bench_calls.deployment import REPEATABLE_PATH, SERVICE

DEADLINE_MS = 5000
ATTEMPT_ID_BYTES = 16


async def time_link_calls(
    address: Address, credential: str, body: bytes, seconds: float, seed: int
) -> CallTimes:
    """Make calls one after another on one link for some seconds; raises ``RuntimeError``."""
    identity = LinkIdentity(Role.PROXY, "bench", "bench", credential)
    link = await dial(address, Purpose.CALLS, identity, LinkSettings(), None)
    if isinstance(link, Failure):
        raise RuntimeError(f"the agent's link did not open: {link}")
    assert link.peer is not None
    caller = _LinkCaller(link, link.peer.incarnation, body, seed)
    times = CallTimes()
    started = time.perf_counter()
    try:
        while (begin := time.perf_counter()) < started + seconds:
            if await caller.call():
                times.answered.append(time.perf_counter() - begin)
            else:
                times.failed += 1
    finally:
        with trio.CancelScope(shield=True):
            await link.flush_and_close()
    times.elapsed = time.perf_counter() - started
    return times


class _LinkCaller:
    """Sends one call at a time on a link and waits for its answer."""

    def __init__(self, link: Link, incarnation: int, body: bytes, seed: int) -> None:
        self._link = link
        self._incarnation = incarnation
        self._body = body
        self._stream = 0
        self._prefix = (seed ^ time.time_ns()) % (1 << 64)

    async def call(self) -> bool:
        """Make a call; return whether the body came back whole."""
        self._stream += 1
        attempt = (self._prefix << 64) + self._stream
        self._link.send(
            CallStart(
                stream=self._stream,
                attempt_id=attempt.to_bytes(ATTEMPT_ID_BYTES, "big"),
                agent_incarnation=self._incarnation,
                service=SERVICE,
                group="default",
                call_kind=CALL_KIND_REPEATABLE,
                deadline_left_ms=DEADLINE_MS,
                method=b"POST",
                target=REPEATABLE_PATH.encode(),
                headers=[Header(name=b"host", value=b"limelever.test")],
                body=self._body,
                end=True,
            )
        )
        await self._link.send_pending()
        answer = await self._link.receive()
        if not isinstance(answer, ResponseStart) or answer.stream != self._stream:
            return False
        return answer.status == HTTP_OK and answer.end and answer.body == self._body
