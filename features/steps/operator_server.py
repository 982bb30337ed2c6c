"""An operators' service over loopback in a thread, before a state machine or a scripted answer."""

from __future__ import annotations

import threading
from collections.abc import Callable

import trio
from google.protobuf.message import Message

from limelever.common.errors import Failure
from limelever.common.sansio import Address
from limelever.common.settings import TlsSettings
from limelever.protocol.keys import Key
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    GetRequest,
    GetResponse,
    RolloutRequest,
    RolloutResponse,
    StatusResponse,
    ZoneRollout,
)
from limelever.source.at_rest import SecretSealer
from limelever.source.operator_service import OperatorToken, operator_application, serve_operators
from limelever.source.state import StateMachine

TOKEN = "operator-token-for-tests"
READ_ONLY_TOKEN = "reader-token-for-tests"
FIRST_LOG_INDEX = 5
Script = Callable[[Message], "Message | Failure | None"]


class OperatorServer:
    """A source of one replica; ``script`` may answer a request first, or raise ``Hang``."""

    def __init__(self, script: Script | None = None) -> None:
        self.state = StateMachine()
        self.log_index = FIRST_LOG_INDEX
        self.applied = 0
        self.sealer = SecretSealer([b"k" * 32])
        self.script = script
        self.address: Address | None = None
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._serve,), daemon=True)
        self._thread.start()
        assert self._ready.wait(10)

    def stop(self) -> None:
        if not self._thread.is_alive():
            return
        trio.from_thread.run_sync(self._stop.set, trio_token=self._token)
        self._thread.join(15)
        assert not self._thread.is_alive(), "the service did not stop"

    async def _serve(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._stop = trio.Event()
        tokens = [
            OperatorToken(name="writer", token=TOKEN),
            OperatorToken(name="reader", token=READ_ONLY_TOKEN, read_only=True),
        ]
        application = operator_application(self._ask, tokens, sealer=self.sealer)
        async with trio.open_nursery() as nursery:
            listen = Address("127.0.0.1", 0)
            self.address = await nursery.start(
                serve_operators, application, listen, TlsSettings(), self._stop
            )
            self._ready.set()

    async def _ask(self, request: Message) -> Message | Failure:
        scripted = None if self.script is None else self.script(request)
        if scripted == "hang":
            await trio.sleep_forever()
        answer = self._answer(request)
        if scripted == "run-then-hang":
            await trio.sleep_forever()
        return answer if scripted is None else scripted

    def _get(self, request: GetRequest) -> GetResponse:
        """Return the resources with the keys asked for, or all if none is."""
        held = {Key.of(each.resource): each for each in self.state.resources()}
        keys = [Key.from_message(key) for key in request.keys] or list(held)
        return GetResponse(
            version=self.state.version,
            resources=[held[key] for key in keys if key in held],
            missing=[key.to_message() for key in keys if key not in held],
        )

    def _answer(self, request: Message) -> Message | Failure:
        if isinstance(request, ApplyRequest):
            if request.dry_run:
                return self.state.dry_run(request.batch)
            self.log_index += 1
            outcome = self.state.apply(self.log_index, request.batch)
            self.applied += outcome.applied is not None
            return outcome.answer
        if isinstance(request, GetRequest):
            return self._get(request)
        if isinstance(request, RolloutRequest):
            zone = ZoneRollout(zone="lodz-a", in_force=2, lagging=1, lowest_version=1)
            return RolloutResponse(version=request.version, zones=[zone])
        return StatusResponse(
            name="source-1", role="leader", commit_index=self.log_index, version=self.state.version
        )
