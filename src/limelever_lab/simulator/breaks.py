"""Mechanisms that can be switched off, by patching from the simulator's side.

The product holds no switch for this. Each break replaces functions or methods for the time of
a run; the checkers must notice within the fixed seeds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import limelever.proxy.agent_messages
import limelever.proxy.calls
import limelever.publisher.scope
import limelever.publisher.view
import limelever.source.replication.leading
import limelever.source.state
import limelever.subscriber.holder
from limelever.agent.call_service import CallService
from limelever.agent.drain import Drain, DrainStep
from limelever.common.errors import Failure, Outcome
from limelever.common.sansio import ConnectionId, Output
from limelever.keeper.core import KeeperCore
from limelever.keeper.rejoin import FORMED
from limelever.keeper.store import ClaimStore
from limelever.protocol.config_pb2 import Batch
from limelever.protocol.replication_pb2 import MemberSet
from limelever.proxy.call_state import Call, CallTable
from limelever.proxy.calls import CallEngine
from limelever.proxy.retry_rules import RETRY_KINDS, NextStep, RetrySettings, next_step
from limelever.publisher.freshness import FreshnessProofs
from limelever.publisher.resources import ResourceTable
from limelever.publisher.scope import Closure, Scope
from limelever.source.core import SourceCore
from limelever.source.replication.joining import Joining
from limelever.source.replication.members import BOOTSTRAP_SUFFIX, bootstrap_members
from limelever.source.replication.writes import PendingWrites
from limelever.source.request_records import RecordMiss, RequestRecords
from limelever.source.state import StateMachine
from limelever.subscriber.holder import Holder

Patch = Callable[[ExitStack], None]


def _replace(stack: ExitStack, owner: object, name: str, value: object) -> None:
    stack.enter_context(mock.patch.object(owner, name, value))


def _sync_before_vote(stack: ExitStack) -> None:
    """Answer votes, appends and writes before they are on the disk."""
    _replace(stack, PendingWrites, "when_synced", lambda _self, action: action())


def _majority_commit(stack: ExitStack) -> None:
    """Commit what one voter holds."""

    def highest(_members: MemberSet, values: Mapping[str, int]) -> int:
        return max(values.values(), default=0)

    _replace(stack, limelever.source.replication.leading, "majority_value", highest)


def _rejoin_as_learner(stack: ExitStack) -> None:
    """Let a replica with an empty disk come back as the voter it was."""

    def found_at_once(self: Joining) -> None:
        context = self._context
        if context.formatted is None:
            names = [context.settings.name, *context.settings.peers]
            self._format(BOOTSTRAP_SUFFIX, bootstrap_members(names))

    _replace(stack, Joining, "_decide", found_at_once)


def _read_index(stack: ExitStack) -> None:
    """Let a source believe itself current without hearing a majority."""

    def at_once(_self: SourceCore, done: Callable[[bool], None], _now: float) -> None:
        done(True)

    _replace(stack, SourceCore, "prove_read", at_once)


def _echo_freshness(stack: ExitStack) -> None:
    """Let every publisher say that it is current now."""
    _replace(stack, FreshnessProofs, "age", lambda _self, _now: 0.0)


def _request_record(stack: ExitStack) -> None:
    """Forget the answers to past requests."""
    _replace(stack, RequestRecords, "find", lambda _self, _request, _index: RecordMiss.NEW)


def _expected_version(stack: ExitStack) -> None:
    """Apply a batch whatever version its operator expected."""
    original = StateMachine._plan

    def without(self: StateMachine, batch: Batch) -> Any:
        copy = Batch()
        copy.CopyFrom(batch)
        copy.ClearField("expected_version")
        return original(self, copy)

    _replace(stack, StateMachine, "_plan", without)


def _reference_check(stack: ExitStack) -> None:
    """Accept routes to what is missing, and deletions of what is used."""
    _replace(stack, limelever.source.state, "dangling", lambda _put, _present: [])
    _replace(stack, limelever.source.state, "still_referenced", lambda _gone, _put, _index: [])


def _whole_batch(stack: ExitStack) -> None:
    """Apply all but one of the resources of a batch."""
    original = StateMachine._take

    def part(self: StateMachine, version: int, plan: Any) -> Any:
        if len(plan.put) > 1:
            plan.put.popitem()
        return original(self, version, plan)

    _replace(stack, StateMachine, "_take", part)


def _version_floor(stack: ExitStack) -> None:
    """Let a subscriber take any version, and forget its floor at a restart."""
    _replace(stack, limelever.subscriber.holder, "decode_floor", lambda _content: 0)
    _replace(stack, Holder, "_refuse_lower", lambda _self, _version: None)
    _replace(stack, Holder, "_acceptable", lambda self, _proved: self.latest.version > 0)


def _dependency_closure(stack: ExitStack) -> None:
    """Send a scope without the secrets that its routes need."""
    _replace(stack, limelever.publisher.scope, "secrets_of", lambda _versioned: ())


def _scope_of_secrets(stack: ExitStack) -> None:
    """Send every secret to every proxy."""

    def everything(_scope: Scope, table: ResourceTable) -> Closure:
        return table.resources

    _replace(stack, limelever.publisher.view, "closure_now", everything)


def _once_only_record(stack: ExitStack) -> None:
    """Let a keeper grant every claim."""
    _replace(stack, ClaimStore, "judge", lambda _self, _claim: None)


def _keeper_sync(stack: ExitStack) -> None:
    """Let a keeper answer before its record is on the disk."""
    original = KeeperCore._sync

    def at_once(self: KeeperCore, record: Any, then: Output) -> list[Output]:
        outputs = original(self, record, then)
        self._after_write.clear()
        return [then, *outputs]

    _replace(stack, KeeperCore, "_sync", at_once)


def _keeper_rejoin(stack: ExitStack) -> None:
    """Let a keeper with an empty disk vote at once."""
    _replace(stack, KeeperCore, "_recovered_state", lambda _self, _recovered: FORMED)


def _claim_kept(stack: ExitStack) -> None:
    """Give a claim back though its call may have run."""
    original = CallEngine._fail

    def released(self: CallEngine, call: Call, failure: Failure, now: float) -> None:
        if call.token:
            self._claims.release(call.token, now)
        original(self, call, failure, now)

    _replace(stack, CallEngine, "_fail", released)


def _no_blind_retry(stack: ExitStack) -> None:
    """Retry calls that may not be repeated, whatever became of the first attempt."""

    def blind(call: Call, failure: Failure, settings: RetrySettings) -> NextStep:
        unknown = failure.outcome is not Outcome.NOT_RUN
        if unknown and failure.kind in RETRY_KINDS and call.attempts < settings.attempts:
            return NextStep.RETRY_WITHIN_BUDGET
        return next_step(call, failure, settings)

    _replace(stack, limelever.proxy.calls, "next_step", blind)


def _answer_matching(stack: ExitStack) -> None:
    """Take what comes on a link for the oldest call on it, whichever call it answers."""

    def oldest(self: CallTable, connection: ConnectionId, _stream: int) -> Call | None:
        return next(iter(self.on_connection(connection)), None)

    _replace(stack, CallTable, "by_stream", oldest)
    _replace(
        stack, limelever.proxy.agent_messages, "_is_mismatched", lambda _message, _attempt: False
    )


def _honest_refusal(stack: ExitStack) -> None:
    """Tell callers the last failure, though an earlier attempt may have run."""
    _replace(stack, limelever.proxy.calls, "final_failure", lambda _call, failure: failure)


def _drain_refusal(stack: ExitStack) -> None:
    """Let an agent that leaves take new calls."""
    _replace(stack, CallService, "drain_began", lambda _self, _now, _starts_until: None)


def _drain_waits(stack: ExitStack) -> None:
    """Let an agent stop at once."""

    def at_once(_self: Drain, _now: float, _running: int, _waiting: int) -> DrainStep:
        return DrainStep.FINISH

    _replace(stack, Drain, "next_step", at_once)


def _stop_waits(stack: ExitStack) -> None:
    """Let a proxy stop at once."""
    _replace(stack, CallEngine, "in_flight", property(lambda _self: 0))


BREAKS: dict[str, Patch] = {
    "sync-before-vote": _sync_before_vote,
    "majority-commit": _majority_commit,
    "rejoin-as-learner": _rejoin_as_learner,
    "read-index": _read_index,
    "echo-freshness": _echo_freshness,
    "request-record": _request_record,
    "expected-version": _expected_version,
    "reference-check": _reference_check,
    "whole-batch": _whole_batch,
    "version-floor": _version_floor,
    "dependency-closure": _dependency_closure,
    "scope-of-secrets": _scope_of_secrets,
    "once-only-record": _once_only_record,
    "keeper-sync": _keeper_sync,
    "keeper-rejoin": _keeper_rejoin,
    "claim-kept": _claim_kept,
    "no-blind-retry": _no_blind_retry,
    "answer-matching": _answer_matching,
    "honest-refusal": _honest_refusal,
    "drain-refusal": _drain_refusal,
    "drain-waits": _drain_waits,
    "stop-waits": _stop_waits,
}


@contextmanager
def broken_mechanism(name: str) -> Iterator[None]:
    """Switch a mechanism off for the time of the block; nothing when ``name`` is empty."""
    with ExitStack() as stack:
        if name:
            BREAKS[name](stack)
        yield
