"""What operators see of a replica."""

from __future__ import annotations

from collections.abc import Callable

from limelever.protocol.operators_pb2 import MemberStatus, StatusResponse
from limelever.source.replication.context import ReplicaContext

LEARNER_ROLE = "learner"


def replica_status(context: ReplicaContext, matched_index: Callable[[str], int]) -> StatusResponse:
    """Return a replica's status without the configuration version, which is its host's.

    ``matched_index`` gives the log index that a member is known to hold, by identity.
    """
    members = [
        MemberStatus(
            identity=member.identity,
            name=member.name,
            address=member.operator_address,
            voter=member.voter,
            matched_index=matched_index(member.identity),
        )
        for member in context.members.members
    ]
    return StatusResponse(
        name=context.settings.name,
        role=context.role.value if context.is_voter else LEARNER_ROLE,
        leader=context.leader,
        leader_operator_address=context.leader_address,
        term=context.term,
        commit_index=context.commit_index,
        members=members,
    )
