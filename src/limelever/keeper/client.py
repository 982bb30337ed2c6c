"""Client of the keepers: claims, releases and completions by majority.

A component of the proxy core: the host passes on the events of KEEPER links and the time, and
handles ``ClaimSettled`` and ``CompletionSettled`` among the outputs.
"""

from __future__ import annotations

import random

from google.protobuf.message import Message
from msgspec import Struct, field

from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DialledConnections,
    Event,
    MessageReceived,
    Output,
)
from limelever.keeper.links import KeeperLinks
from limelever.keeper.settings import KeeperClientSettings
from limelever.keeper.tally import ClaimGranted, ClaimOutcome, ClaimTally
from limelever.protocol.keeper_pb2 import (
    Claim,
    ClaimAnswer,
    Complete,
    KeeperDone,
    RecordedAnswer,
    Release,
)


class ClaimSettled(Output, frozen=True):
    """The outcome of a claim; exactly one follows each ``claim``."""

    token: bytes
    outcome: ClaimOutcome


class CompletionSettled(Output, frozen=True):
    """Whether a majority has recorded an answer; exactly one follows each ``complete``."""

    token: bytes
    ok: bool


class PendingClaim(Struct):
    """A claim whose outcome is not decided."""

    message: Claim
    tally: ClaimTally
    give_up_at: float


class PendingSettlement(Struct):
    """A release or completion, resent until all keepers confirm it or its window ends."""

    message: Release | Complete
    give_up_at: float
    resend_at: float
    done: set[Address] = field(default_factory=set)
    announce_at: float | None = None


class KeeperClientCore:
    """Claims, releases and completions of one process."""

    def __init__(
        self,
        settings: KeeperClientSettings,
        connections: DialledConnections,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._links = KeeperLinks(settings, connections, random_source)
        self._claims: dict[bytes, PendingClaim] = {}
        self._keys: dict[bytes, Claim] = {}
        self._settlements: dict[bytes, PendingSettlement] = {}
        self._requests: dict[int, bytes] = {}
        self._last_request = 0

    # --- requests of the host ---------------------------------------------------------------

    def claim(self, token: bytes, key: bytes, fingerprint: bytes, now: float) -> list[Output]:
        """Send a claim to all keepers; a ``ClaimSettled`` follows within the claim window."""
        message = Claim(
            request=self._draw_request(token), key=key, token=token, fingerprint=fingerprint
        )
        tally = ClaimTally(self._settings.quorum, self._links.addresses, fingerprint)
        self._claims[token] = PendingClaim(message, tally, now + self._settings.claim_window)
        self._keys[token] = message
        return self._links.broadcast(message)

    def release(self, token: bytes, now: float) -> list[Output]:
        """Release the claim of a call that was not run; resent until all keepers confirm it."""
        claim = self._keys.pop(token, None)
        if claim is None:
            return []
        message = Release(request=self._draw_request(token), key=claim.key, token=token)
        return self._settle(token, message, now, announce_at=None)

    def complete(self, token: bytes, answer: RecordedAnswer, now: float) -> list[Output]:
        """Record an answer; a ``CompletionSettled`` follows within ``completion_wait``."""
        claim = self._keys.pop(token)
        message = Complete(
            request=self._draw_request(token),
            key=claim.key,
            token=token,
            answer=answer,
            fingerprint=claim.fingerprint,
        )
        return self._settle(token, message, now, announce_at=now + self._settings.completion_wait)

    def forget(self, token: bytes) -> None:
        """Leave the claim at the keepers, as the outcome of the call is unknown."""
        self._keys.pop(token, None)

    # --- events and time --------------------------------------------------------------------

    def start(self, now: float) -> list[Output]:
        """Dial the keepers."""
        return self._links.dial_due(now)

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a connection is a link to a keeper."""
        return self._links.owns(connection)

    def handle(self, event: Event, now: float) -> list[Output]:
        """Handle an event of a link to a keeper."""
        match event:
            case ConnectionOpened(connection, _):
                return self._links.opened(connection, self._waiting(connection))
            case ConnectionClosed(connection, _) | ConnectionFailed(connection, _):
                self._links.lost(connection, now)
            case MessageReceived(connection, message):
                return self._received(self._links.address_of(connection), message, now)
        return []

    def next_deadline(self) -> float | None:
        """Return when a claim times out, a message is resent or a keeper dialled, or ``None``."""
        times = self._links.dial_times()
        times.extend(claim.give_up_at for claim in self._claims.values())
        for pending in self._settlements.values():
            times.append(min(pending.resend_at, pending.give_up_at))
            if pending.announce_at is not None:
                times.append(pending.announce_at)
        return min(times, default=None)

    def tick(self, now: float) -> list[Output]:
        """Handle all deadlines that have been reached."""
        outputs = self._links.dial_due(now)
        for token, claim in list(self._claims.items()):
            if now >= claim.give_up_at:
                outputs.extend(self._settle_claim(token, claim.tally.given_up(), now))
        for token, pending in list(self._settlements.items()):
            outputs.extend(self._tend(token, pending, now))
        return outputs

    def _waiting(self, connection: ConnectionId) -> list[Message]:
        """Return the messages that the keeper at the other end of a link has not answered."""
        keeper = self._links.address_of(connection)
        claims = self._claims.values()
        waiting: list[Message] = [c.message for c in claims if not c.tally.has_answer_of(keeper)]
        settlements = self._settlements.values()
        return [*waiting, *(p.message for p in settlements if keeper not in p.done)]

    # --- answers ----------------------------------------------------------------------------

    def _received(self, keeper: Address, message: Message, now: float) -> list[Output]:
        if isinstance(message, ClaimAnswer):
            token = self._requests.get(message.request, b"")
            claim = self._claims.get(token)
            if claim is None or claim.message.request != message.request:
                return []
            outcome = claim.tally.take(keeper, message)
            return [] if outcome is None else self._settle_claim(token, outcome, now)
        if isinstance(message, KeeperDone):
            token = self._requests.get(message.request, b"")
            pending = self._settlements.get(token)
            if pending is not None and pending.message.request == message.request:
                pending.done.add(keeper)
                return self._tend(token, pending, now)
        return []

    def _settle_claim(self, token: bytes, outcome: ClaimOutcome, now: float) -> list[Output]:
        claim = self._claims.pop(token)
        outputs: list[Output] = []
        if isinstance(outcome, ClaimGranted):
            self._forget_request(claim.message.request)
            if now >= claim.give_up_at:
                outcome = claim.tally.given_up()
        if not isinstance(outcome, ClaimGranted):
            self._forget_request(claim.message.request)
            outputs.extend(self.release(token, now))
        outputs.append(ClaimSettled(token, outcome))
        return outputs

    # --- releases and completions -----------------------------------------------------------

    def _settle(
        self, token: bytes, message: Release | Complete, now: float, announce_at: float | None
    ) -> list[Output]:
        self._settlements[token] = PendingSettlement(
            message,
            give_up_at=now + self._settings.settle_window,
            resend_at=now + self._settings.resend_interval,
            announce_at=announce_at,
        )
        return self._links.broadcast(message)

    def _tend(self, token: bytes, pending: PendingSettlement, now: float) -> list[Output]:
        outputs: list[Output] = []
        recorded = len(pending.done) >= self._settings.quorum
        if pending.announce_at is not None and (recorded or now >= pending.announce_at):
            pending.announce_at = None
            outputs.append(CompletionSettled(token, recorded))
        if len(pending.done) == len(self._links) or now >= pending.give_up_at:
            del self._settlements[token]
            self._forget_request(pending.message.request)
            return outputs
        if now >= pending.resend_at:
            pending.resend_at = now + self._settings.resend_interval
            outputs.extend(self._links.broadcast(pending.message, frozenset(pending.done)))
        return outputs

    def _draw_request(self, token: bytes) -> int:
        self._last_request += 1
        self._requests[self._last_request] = token
        return self._last_request

    def _forget_request(self, request: int) -> None:
        self._requests.pop(request, None)
