"""The keeper core: grants claims on idempotency keys, one vote of a fixed set of keepers.

Every grant, release and completion is synced before it is answered. Answers on one connection may
be reordered; they carry the request's number.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    AppendLog,
    CloseConnection,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    Event,
    LogEvent,
    MessageReceived,
    Output,
    Recovered,
    ReplaceFile,
    ResetLog,
    SendMessage,
    Started,
    StopProcess,
    WriteCompleted,
)
from limelever.keeper import events
from limelever.keeper.other_keepers import OtherKeepers
from limelever.keeper.rejoin import EMPTY, FORMED, Rejoin
from limelever.keeper.settings import KeeperSettings
from limelever.keeper.store import ClaimStore
from limelever.keeper.transfers import Transfers
from limelever.protocol.keeper_pb2 import (
    Claim,
    ClaimAnswer,
    ClaimState,
    Complete,
    KeeperDone,
    KeeperRecord,
    KeeperState,
    Release,
    TransferAnswer,
    TransferRequest,
)

STATE_FILE = "keeper-state"
EXPIRE_INTERVAL = 60.0


class KeeperCore:
    """One keeper. ``wall_offset`` converts the monotonic time of events into Unix time."""

    def __init__(self, settings: KeeperSettings, recovered: Recovered, wall_offset: float) -> None:
        self._settings = settings
        self._wall_offset = wall_offset
        self._store = ClaimStore(settings)
        self._records_on_disk = len(recovered.records)
        self._damaged = self._store.replay(recovered.records)
        self._rejoin = Rejoin(settings, self._recovered_state(recovered))
        self._target_state = self._rejoin.state
        self._others = OtherKeepers(settings.others, self._rejoin, settings.rejoin_wait)
        self._transfers = Transfers(self._store)
        self._tokens = itertools.count(1)
        self._after_write: dict[int, list[Output]] = {}
        self._state_writes: dict[int, KeeperState.ValueType] = {}
        self._poll_at: float | None = None
        self._expire_at: float | None = None
        self._full_reported = False

    @property
    def voting(self) -> bool:
        """Return whether this keeper grants claims."""
        return self._rejoin.state == FORMED

    def next_deadline(self) -> float | None:
        """Return when to poll the other keepers or to remove expired claims, or ``None``."""
        times = [time for time in (self._poll_at, self._expire_at) if time is not None]
        return min(times, default=None)

    def handle(self, event: Event, now: float) -> Sequence[Output]:
        """Handle one event."""
        match event:
            case Started():
                return self._start(now)
            case DeadlineReached():
                return self._tick(now)
            case WriteCompleted(token):
                return self._written(token)
            case ConnectionOpened(connection, _):
                return self._others.opened(connection)
            case ConnectionClosed(connection, _) | ConnectionFailed(connection, _):
                self._transfers.forget(connection)
                self._others.lost(connection)
                return []
            case MessageReceived(connection, message):
                return self._received(connection, message, now)
        return []

    # --- start and time ---------------------------------------------------------------------

    def _recovered_state(self, recovered: Recovered) -> KeeperState.ValueType:
        content = recovered.files.get(STATE_FILE, b"")
        if not content:
            return EMPTY
        return KeeperState.Value(content.decode())

    def _start(self, now: float) -> list[Output]:
        if self._damaged is not None:
            reason = f"record {self._damaged} of the claims does not parse"
            return [
                LogEvent(events.KEEPER_RECORD_DAMAGED, {"index": self._damaged}),
                StopProcess(Failure(ErrorKind.DATA_DAMAGED, reason)),
            ]
        self._expire_at = now + EXPIRE_INTERVAL
        if self.voting:
            return []
        self._poll_at = now
        return self._advance(now)

    def _tick(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        if self._expire_at is not None and now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL
            self._store.expire(self._wall(now))
            outputs.extend(self._compact())
        if self._poll_at is not None and now >= self._poll_at:
            self._poll_at = None if self.voting else now + self._settings.poll_interval
            outputs.extend([] if self.voting else self._others.poll(now))
        return outputs

    def _wall(self, now: float) -> float:
        return now + self._wall_offset

    def _advance(self, now: float) -> list[Output]:
        copied = self._rejoin.finished()
        if copied is not None and self._target_state != FORMED:
            self._store.merge(copied)
            return self._become(FORMED, rewrite=True)
        state = self._rejoin.next_state()
        if state != self._target_state:
            return self._become(state, rewrite=False)
        return []

    def _become(self, state: KeeperState.ValueType, *, rewrite: bool) -> list[Output]:
        self._target_state = state
        outputs: list[Output] = []
        if rewrite:
            outputs.append(ResetLog(next(self._tokens), self._store.serialized()))
        token = next(self._tokens)
        self._state_writes[token] = state
        outputs.append(ReplaceFile(token, STATE_FILE, KeeperState.Name(state).encode()))
        return outputs

    # --- claims -----------------------------------------------------------------------------

    def _received(self, connection: ConnectionId, message: Message, now: float) -> list[Output]:
        match message:
            case Claim():
                return self._claim(connection, message, now)
            case Release():
                record = self._store.release(message, self._wall(now))
                return self._done(connection, message.request, record)
            case Complete():
                record = self._store.complete(message, self._wall(now))
                return self._done(connection, message.request, record)
            case TransferRequest():
                return [SendMessage(connection, self._transfer(connection, message))]
            case TransferAnswer():
                outputs = self._others.answered(connection, message, now)
                return [*outputs, *self._advance(now)]
        name = message.DESCRIPTOR.name
        return [CloseConnection(connection, f"a keeper does not take {name}")]

    def _claim(self, connection: ConnectionId, claim: Claim, now: float) -> list[Output]:
        if not self.voting:
            answer = ClaimAnswer(state=ClaimState.CLAIM_STATE_REJOINING)
            return [self._claim_answer(connection, claim, answer)]
        judged = self._store.judge(claim)
        if judged is None:
            record = self._store.grant(claim, self._wall(now))
            answer = ClaimAnswer(
                state=ClaimState.CLAIM_STATE_GRANTED, fingerprint=claim.fingerprint
            )
            return self._sync(record, self._claim_answer(connection, claim, answer))
        outputs = [self._claim_answer(connection, claim, judged)]
        if judged.state == ClaimState.CLAIM_STATE_GRANTED:
            # The grant may not be synced yet, so the answer waits for another sync.
            return self._sync(None, outputs[0])
        if judged.state == ClaimState.CLAIM_STATE_FULL and not self._full_reported:
            self._full_reported = True
            fields: dict[str, object] = {"claims": len(self._store), "bytes": self._store.size}
            outputs.append(LogEvent(events.KEEPER_FULL, fields))
        return outputs

    def _claim_answer(self, connection: ConnectionId, claim: Claim, answer: ClaimAnswer) -> Output:
        answer.request = claim.request
        answer.keeper = self._settings.name
        return SendMessage(connection, answer)

    def _done(
        self, connection: ConnectionId, request: int, record: KeeperRecord | None
    ) -> list[Output]:
        done = KeeperDone(request=request, ok=True, keeper=self._settings.name)
        return self._sync(record, SendMessage(connection, done))

    def _sync(self, record: KeeperRecord | None, then: Output) -> list[Output]:
        token = next(self._tokens)
        self._after_write[token] = [then]
        records = () if record is None else (record.SerializeToString(),)
        self._records_on_disk += len(records)
        return [AppendLog(token, records)]

    def _written(self, token: int) -> list[Output]:
        state = self._state_writes.pop(token, None)
        if state is not None:
            return self._entered(state)
        return self._after_write.pop(token, [])

    def _entered(self, state: KeeperState.ValueType) -> list[Output]:
        self._rejoin.state = state
        if state != FORMED:
            return []
        return [LogEvent(events.KEEPER_FORMED, {"records": len(self._store)})]

    # --- transfer and compaction ------------------------------------------------------------

    def _transfer(self, connection: ConnectionId, request: TransferRequest) -> TransferAnswer:
        if request.state_only or not self.voting:
            return TransferAnswer(state=self._rejoin.state)
        return self._transfers.answer(connection, request, self._rejoin.state)

    def _compact(self) -> list[Output]:
        live = len(self._store)
        if self._records_on_disk < self._settings.compact_from + 2 * live:
            return []
        records = self._store.serialized()
        self._records_on_disk = len(records)
        return [
            ResetLog(next(self._tokens), records),
            LogEvent(events.KEEPER_COMPACTED, {"records": len(records)}),
        ]
