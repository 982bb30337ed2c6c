"""The replicated state machine: resources, and the answers to the requests that changed them.

Pure: the same batches at the same log indices give the same state on every replica. A batch is
checked against the state it lands on and takes effect whole or not at all. The shape of a batch
is checked at the leader's door by :mod:`limelever.source.validation`, where secrets are sealed
too, so that a later rule cannot make replicas of two releases disagree about an old entry.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_SERVICE,
    RESOURCE_KIND_ZONE_DRAIN,
    Batch,
    Resource,
    Revision,
    VersionedResource,
)
from limelever.protocol.keys import Key, rollout_key
from limelever.protocol.operators_pb2 import (
    CHANGE_ACTION_CREATE,
    CHANGE_ACTION_DELETE,
    CHANGE_ACTION_UNCHANGED,
    CHANGE_ACTION_UPDATE,
    ApplyResponse,
    Change,
    ChangeAction,
)
from limelever.protocol.replication_pb2 import RequestRecord, SourceSnapshot
from limelever.source.overlaps import Overlap
from limelever.source.references import Edge, dangling, still_referenced
from limelever.source.request_answers import (
    acceptance_record,
    answer_of,
    fingerprint,
    may_be_resent,
    refusal_record,
)
from limelever.source.request_records import DEFAULT_RECORD_LIMIT, RecordMiss, RequestRecords
from limelever.source.resource_set import ResourceSet
from limelever.source.revisions import Revisions

MAX_NAMED = 20
RULES_WITH_OVERLAPS = 1
CURRENT_RULES = RULES_WITH_OVERLAPS
"""Rules under which new entries are judged; an entry keeps those it was proposed under, or else
a replica that replays an old entry would disagree with what was answered."""
_MISS_REASONS = {
    RecordMiss.MALFORMED: "request id is not UNIQUE@POSITION",
    RecordMiss.FROM_THE_FUTURE: "request id has a position that the log has not reached",
    RecordMiss.MAYBE_DROPPED: (
        "request id is older than the kept answers: this sending was not run, and whether an "
        "earlier one was is no longer known; read the state, then send anew without the id"
    ),
}
_RESEALED = (
    "request id was used before, with other secret values or before the sealing key was changed: "
    "this sending was not run, and whether it is the earlier one can't be told; read the state"
)


class AppliedBatch(Struct, frozen=True):
    """What an accepted batch changed: the resources put and the keys removed."""

    version: int
    put: tuple[VersionedResource, ...]
    removed: tuple[Key, ...]


class ApplyOutcome(Struct, frozen=True):
    """What became of a batch.

    ``record`` is ``None`` for a batch that carries a revision, which has records of its own.
    ``answer`` goes to the operator; ``applied`` is ``None`` when nothing changed (refused,
    repeated, or every resource already so).
    """

    record: RequestRecord | None
    answer: ApplyResponse | Failure
    applied: AppliedBatch | None


class _Plan(Struct, frozen=True):
    put: dict[Key, Resource]
    deleted: tuple[Key, ...]
    changes: tuple[Change, ...]


class StateMachine:
    """Services, routes, shares and secrets with the version that last changed each."""

    def __init__(self, record_limit: int = DEFAULT_RECORD_LIMIT) -> None:
        """``record_limit`` is the number of request answers kept; equal on all replicas."""
        self._version = 0
        self._resources = ResourceSet()
        self._records = RequestRecords(record_limit)
        self._revisions = Revisions()

    @property
    def version(self) -> int:
        """Return the configuration version: the log index of the last batch that changed it."""
        return self._version

    def get(self, key: Key) -> VersionedResource | None:
        """Return the resource with ``key``; a secret's value is sealed."""
        return self._resources.get(key)

    def resources(self) -> list[VersionedResource]:
        """Return all resources in the order of their keys; secret values are sealed."""
        return self._resources.in_order()

    @property
    def revision(self) -> Revision:
        """Return the operator's newest revision; its number is 0 when there is none."""
        return self._revisions.current

    def apply(self, version: int, batch: Batch, rules: int = CURRENT_RULES) -> ApplyOutcome:
        """Apply the committed ``batch`` whose log index is ``version``, judged by ``rules``."""
        if batch.HasField("revision"):
            return self._apply_revision(version, batch, rules)
        found = self._records.find(batch.request_id, version)
        if isinstance(found, RequestRecord):
            return self._repeat(found, batch)
        if found is not RecordMiss.NEW:
            expired = found is RecordMiss.MAYBE_DROPPED
            kind = ErrorKind.REQUEST_EXPIRED if expired else ErrorKind.INVALID_REQUEST
            return self._refuse(batch, self._failure(kind, _MISS_REASONS[found]))
        plan = self._judge(batch, rules)
        if isinstance(plan, Failure):
            outcome = self._refuse(batch, plan)
        else:
            outcome = self._accept(version, batch, plan)
        if outcome.record is not None:
            self._records.add(outcome.record)
        return outcome

    def dry_run(self, batch: Batch) -> ApplyResponse | Failure:
        """Return what ``batch`` would change now, or why it would be refused."""
        plan = self._judge(batch, CURRENT_RULES)
        if isinstance(plan, Failure):
            return plan
        return ApplyResponse(version=self._version, changes=plan.changes)

    def snapshot(self) -> SourceSnapshot:
        """Return the state in a snapshot; position and members are left to the caller."""
        return SourceSnapshot(
            version=self._version,
            resources=self.resources(),
            requests=self._records.oldest_first(),
            removed_requests_through=self._records.removed_through,
            revision=self._revisions.current,
            revisions=self._revisions.oldest_first(),
        )

    def restore(self, snapshot: SourceSnapshot) -> None:
        """Replace the state by that of ``snapshot``, which stays the caller's own."""
        snapshot = SourceSnapshot.FromString(snapshot.SerializeToString())
        self._version = snapshot.version
        self._resources = ResourceSet(snapshot.resources)
        self._records.restore(snapshot.requests, snapshot.removed_requests_through)
        self._revisions.restore(snapshot.revision, snapshot.revisions)

    def _apply_revision(self, version: int, batch: Batch, rules: int) -> ApplyOutcome:
        """Apply a batch that carries the operator's own number for the state after it."""
        judged = self._revisions.judge(batch)
        if isinstance(judged, Failure):
            return ApplyOutcome(None, judged, None)
        if judged is not None:
            repeated = ApplyResponse(version=judged.version, repeated_answer=True)
            return ApplyOutcome(None, repeated, None)
        plan = self._judge(batch, rules)
        if isinstance(plan, Failure):
            return ApplyOutcome(None, plan, None)
        applied = self._take(version, plan)
        self._revisions.take(batch, self._version)
        answer = ApplyResponse(version=self._version, changes=plan.changes)
        return ApplyOutcome(None, answer, applied)

    def _failure(self, kind: ErrorKind, reason: str, keys: Sequence[Key] = ()) -> Failure:
        named = tuple(str(key) for key in keys[:MAX_NAMED])
        current = self._version if kind is ErrorKind.CONFLICT else 0
        return Failure(kind, reason, named, current_version=current)

    def _repeat(self, record: RequestRecord, batch: Batch) -> ApplyOutcome:
        if record.fingerprint == fingerprint(batch):
            return ApplyOutcome(record, answer_of(record, batch), None)
        if may_be_resent(record, batch):
            return self._refuse(batch, self._failure(ErrorKind.REQUEST_EXPIRED, _RESEALED))
        reason = "request id was used before with other content; this sending was not run"
        return self._refuse(batch, self._failure(ErrorKind.CONFLICT, reason))

    def _refuse(self, batch: Batch, failure: Failure) -> ApplyOutcome:
        return ApplyOutcome(refusal_record(batch, self._version, failure), failure, None)

    def _accept(self, version: int, batch: Batch, plan: _Plan) -> ApplyOutcome:
        applied = self._take(version, plan)
        answer = ApplyResponse(version=self._version, changes=plan.changes)
        return ApplyOutcome(acceptance_record(batch, answer), answer, applied)

    def _take(self, version: int, plan: _Plan) -> AppliedBatch | None:
        put = tuple(
            VersionedResource(resource=resource, version=version)
            for key, resource in sorted(plan.put.items())
            if not self._resources.holds(key, resource)
        )
        if not put and not plan.deleted:
            return None
        for item in put:
            self._resources.put(item)
        for key in plan.deleted:
            self._resources.remove(key)
        self._version = version
        return AppliedBatch(version, put, plan.deleted)

    def _judge(self, batch: Batch, rules: int) -> _Plan | Failure:
        plan = self._plan(batch)
        if isinstance(plan, Failure) or rules < RULES_WITH_OVERLAPS:
            return plan
        overlaps = list(self._resources.overlaps(plan.put, plan.deleted))
        return self._overlap_failure(overlaps) if overlaps else plan

    def _plan(self, batch: Batch) -> _Plan | Failure:
        put = {Key.of(resource): resource for resource in batch.put}
        named = {Key.from_message(key) for key in batch.delete}
        left_out = self._left_out(put) if batch.replace else set()
        deleted = tuple(sorted(named | left_out))
        failure = self._check(batch, put, deleted)
        if failure is not None:
            return failure
        changes = [Change(action=self._action(key, put[key]), key=key.to_message()) for key in put]
        changes += [Change(action=CHANGE_ACTION_DELETE, key=key.to_message()) for key in deleted]
        return _Plan(put, deleted, tuple(changes))

    def _left_out(self, put: Mapping[Key, Resource]) -> set[Key]:
        """Return what a batch that replaces all leaves out.

        A service keeps its rollout. Zone drains stay until they are withdrawn: they are orders
        about the machines, which a document of services doesn't know.
        """
        held = self._resources.keys()
        kept = {rollout_key(key.name) for key in put if key.kind == RESOURCE_KIND_SERVICE}
        kept |= {key for key in held if key.kind == RESOURCE_KIND_ZONE_DRAIN}
        return held - put.keys() - kept

    def _action(self, key: Key, resource: Resource) -> ChangeAction.ValueType:
        if key not in self._resources:
            return CHANGE_ACTION_CREATE
        if self._resources.holds(key, resource):
            return CHANGE_ACTION_UNCHANGED
        return CHANGE_ACTION_UPDATE

    def _check(
        self, batch: Batch, put: dict[Key, Resource], deleted: tuple[Key, ...]
    ) -> Failure | None:
        if batch.HasField("expected_version") and batch.expected_version != self._version:
            return self._failure(
                ErrorKind.CONFLICT,
                f"expected version {batch.expected_version}, current version is {self._version}",
            )
        absent = [key for key in deleted if key not in self._resources]
        if absent:
            return self._failure(ErrorKind.NOT_FOUND, "nothing to delete", absent)
        used = still_referenced(deleted, put, self._resources.references)
        if used:
            return self._reference_failure(ErrorKind.STILL_REFERENCED, "is still used by", used)
        missing = dangling(put, (self._resources.keys() | put.keys()) - set(deleted))
        if missing:
            return self._reference_failure(ErrorKind.DANGLING_REFERENCE, "is missing for", missing)
        return None

    def _reference_failure(self, kind: ErrorKind, verb: str, edges: list[Edge]) -> Failure:
        texts = [f"{target} {verb} {referrer}" for referrer, target in edges]
        return self._failure(kind, _listed(texts), sorted({target for _, target in edges}))

    def _overlap_failure(self, overlaps: list[Overlap]) -> Failure:
        keys = sorted({key for overlap in overlaps for key in overlap.keys})
        reason = _listed([overlap.reason for overlap in overlaps])
        return self._failure(ErrorKind.OVERLAPPING, reason, keys)


def _listed(texts: list[str]) -> str:
    named = texts[:MAX_NAMED]
    if len(texts) > MAX_NAMED:
        named.append(f"and {len(texts) - MAX_NAMED} more")
    return "; ".join(named)
