"""The desk at which operators' interfaces give requests to a source's core."""

from __future__ import annotations

import trio
from google.protobuf.message import Message
from msgspec import Struct, field

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.operators_pb2 import ApplyRequest, ChangeMembersRequest
from limelever.source.messages import OperatorAnswer, OperatorMessage, OperatorRequest
from limelever.transport.runner import CoreRunner

_NO_CORE = Failure(ErrorKind.DRAINING, "this replica starts or stops")
_WRITE_UNSETTLED = Failure(ErrorKind.WRITE_UNKNOWN, "this replica stopped before it was settled")


class _Asked(Struct):
    """A request that waits; ``settled`` is set once ``answer`` is there."""

    writes: bool
    settled: trio.Event = field(default_factory=trio.Event)
    answer: Message | Failure | None = None

    def settle(self, answer: Message | Failure) -> None:
        """Take the answer; the first one counts."""
        if not self.settled.is_set():
            self.answer = answer
            self.settled.set()


class OperatorDesk:
    """Passes operators' requests to the core and its answers back.

    Before :meth:`open` and from :meth:`close` on each is refused at once: nobody else would answer.
    """

    def __init__(self) -> None:
        self._asked: dict[int, _Asked] = {}
        self._last_token = 0
        self._runner: CoreRunner | None = None

    def open(self, runner: CoreRunner) -> None:
        """Pass requests to this core."""
        self._runner = runner

    def close(self) -> None:
        """Answer whoever still waits: the core takes nothing more."""
        self._runner = None
        for asked in self._asked.values():
            asked.settle(_WRITE_UNSETTLED if asked.writes else _NO_CORE)

    async def ask(self, request: Message) -> Message | Failure:
        """Give the core a request and wait for its answer."""
        if not isinstance(request, OperatorMessage):
            return Failure(ErrorKind.INVALID_REQUEST, f"no request: {request.DESCRIPTOR.name}")
        if self._runner is None:
            return _NO_CORE
        self._last_token += 1
        token = self._last_token
        asked = self._asked[token] = _Asked(
            isinstance(request, ApplyRequest | ChangeMembersRequest)
        )
        try:
            self._runner.post(OperatorRequest(token, request))
            await asked.settled.wait()
            assert asked.answer is not None
            return asked.answer
        finally:
            del self._asked[token]

    def take(self, answer: OperatorAnswer) -> None:
        """Wake the one who waits for this answer, if it still does."""
        asked = self._asked.get(answer.token)
        if asked is not None:
            asked.settle(answer.answer)
