"""Changes of the member set: one at a time, each through the log.

A replica that joins under the name of a voter replaces it without an operator: it is admitted as
a learner, caught up, promoted, and then the spent identity is removed. It is promoted first, so
that the group is never smaller than it was; each step waits for the commit of the one before.
"""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.settings import is_address
from limelever.protocol.operators_pb2 import ChangeMembersRequest
from limelever.protocol.replication_pb2 import JoinRequest, Member, MemberSet
from limelever.source import events
from limelever.source.replication.context import ReplicaContext
from limelever.source.replication.leading import Leadership
from limelever.source.replication.levels import with_stated_levels
from limelever.source.replication.members import (
    is_majority,
    is_member,
    learners,
    replaces_a_voter,
    superseded_voter,
    unchanged,
    voters,
    with_learner,
    with_promoted,
    without,
)

JOIN_INTERVALS_KEPT = 4


class _Join(Struct, frozen=True):
    """A replica that asks for admission, and until when its request stands."""

    member: Member
    expires: float


class MembershipChanges:
    """Carries out replacements and operators' changes while this replica leads."""

    def __init__(self, context: ReplicaContext, leadership: Leadership) -> None:
        self._context = context
        self._leadership = leadership
        self._joins: dict[str, _Join] = {}

    def take_join(self, request: JoinRequest) -> None:
        """Note that a replica asks to be admitted; it repeats this until it is.

        Requests expire: a leader that kept an old one would admit an identity whose disk has
        been lost since, ahead of the one in use.
        """
        context = self._context
        if not self._may_join(request.name):
            context.record(events.JOIN_REFUSED, name=request.name)
            return
        if not request.identity:
            return
        member = Member(
            identity=request.identity,
            name=request.name,
            operator_address=request.operator_address,
            feature_level=request.feature_level,
        )
        if not self._reads_log(member):
            self._record_below(member)
        kept = JOIN_INTERVALS_KEPT * context.settings.join_interval
        self._joins[request.name] = _Join(member, context.now + kept)

    def _may_join(self, name: str) -> bool:
        settings = self._context.settings
        return is_address(name) if settings.discovers_members else name in settings.peers

    def _joining(self) -> list[Member]:
        """Return the replicas that ask for admission now and read every record of the log."""
        now = self._context.now
        asking = [join.member for join in self._joins.values() if now < join.expires]
        return [member for member in asking if self._reads_log(member)]

    def _reads_log(self, member: Member) -> bool:
        return member.feature_level >= self._context.log.feature_level

    def _record_below(self, member: Member) -> None:
        self._context.record(
            events.JOIN_BELOW_LEVEL,
            name=member.name,
            stated=member.feature_level,
            level=self._context.log.feature_level,
        )

    def advance(self) -> None:
        """Take the next step of a replacement, when there is one and none is under way."""
        if not self._leadership.may_change_members:
            return
        changed = self._next_set()
        if changed is None:
            changed = with_stated_levels(self._context)
        if changed is not None:
            self._leadership.change_members(changed)

    def _next_set(self) -> MemberSet | None:
        members = self._context.members
        spent = superseded_voter(members)
        if spent is not None:
            return self._removal(spent)
        for member in members.members:
            if not member.voter and replaces_a_voter(members, member.name):
                promoted = self._promotion(member.identity)
                if promoted is not None:
                    return promoted
        for joining in self._joining():
            known = is_member(members, joining.identity)
            if not known and replaces_a_voter(members, joining.name):
                return with_learner(members, joining)
        if self._context.settings.discovers_members:
            return self._next_discovered_set(members)
        return None

    def _next_discovered_set(self, members: MemberSet) -> MemberSet | None:
        """Keep the number of voters: promote, then remove the silent, then admit."""
        settings = self._context.settings
        ready = [each for each in learners(members) if self._promotion(each) is not None]
        missing = settings.voters - len(voters(members))
        if ready and missing > 0:
            return self._promotion(ready[0])
        silent = self._silent_voter(members)
        if silent is not None and (ready or missing < 0):
            return self._removal(silent)
        for learner in learners(members):
            if self._leadership.silent_for(learner) > settings.replace_after:
                return without(members, learner)
        for joining in self._joining():
            if not is_member(members, joining.identity):
                return with_learner(members, joining)
        return None

    def _silent_voter(self, members: MemberSet) -> str | None:
        """Return the voter that has been silent longest, if one was for long enough to go."""
        silence = {each: self._leadership.silent_for(each) for each in sorted(voters(members))}
        longest = max(silence, key=lambda each: silence[each], default=None)
        if longest is None or silence[longest] <= self._context.settings.replace_after:
            return None
        return longest

    def _promotion(self, identity: str) -> MemberSet | None:
        """Return the set with a learner promoted, unless it lags or could halt the group."""
        lags = self._leadership.matched_index(identity) < self._context.commit_index
        below = any(
            member.identity == identity and not self._reads_log(member)
            for member in self._context.members.members
        )
        if below or lags or not self._leadership.heard_lately(identity):
            return None
        changed = with_promoted(self._context.members, identity)
        return changed if self._is_healthy(changed) else None

    def _removal(self, identity: str) -> MemberSet | None:
        changed = without(self._context.members, identity)
        return changed if self._is_healthy(changed) else None

    def _is_healthy(self, members: MemberSet) -> bool:
        """Return whether a majority of ``members`` answers now: it must commit the change."""
        heard = [name for name in voters(members) if self._leadership.heard_lately(name)]
        return is_majority(members, heard)

    def request(self, request: ChangeMembersRequest) -> int | Failure:
        """Begin an operator's change; returns the index whose commit completes it.

        A resend of the last change gets that change's index. Fails with NOT_FOUND for an unknown
        name or identity and with OVERLOADED (try again) while another change is under way, the
        learner lags, or a majority would not answer.
        """
        if request.request_id and request.request_id == self._context.members.request_id:
            return self._context.log.members_index
        if not self._leadership.may_change_members:
            return self._later("another change is under way")
        changed = self._requested(request)
        if isinstance(changed, Failure):
            return changed
        changed.request_id = request.request_id
        return self._leadership.change_members(changed)

    def _requested(self, request: ChangeMembersRequest) -> MemberSet | Failure:
        members = self._context.members
        match request.WhichOneof("change"):
            case "add_learner":
                return self._added(request.add_learner)
            case "promote" if request.promote in voters(members):
                return unchanged(members)
            case "promote" if request.promote in learners(members):
                return self._promotion(request.promote) or self._later("not ready to vote")
            case "remove" if is_member(members, request.remove):
                return self._removal(request.remove) or self._later("no majority would answer")
            case None:
                return Failure(ErrorKind.INVALID_REQUEST, "no change named")
            case _:
                return Failure(ErrorKind.NOT_FOUND, "no such member")

    def _added(self, name: str) -> MemberSet | Failure:
        members = self._context.members
        joining = next((member for member in self._joining() if member.name == name), None)
        if joining is not None and not is_member(members, joining.identity):
            return with_learner(members, joining)
        if any(member.name == name for member in members.members):
            return unchanged(members)
        return Failure(ErrorKind.NOT_FOUND, f"no replica called {name} asks to join")

    def _later(self, reason: str) -> Failure:
        delay = self._context.settings.election_timeout
        return Failure(ErrorKind.OVERLOADED, reason, retry_after=delay)
