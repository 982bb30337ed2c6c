"""An empty disk: found a new group, or join the one that exists under a new identity.

A lost disk is a lost vote. A replica that came back under its old identity would have forgotten
its votes and entries, and with one more loss a committed entry would be gone. So an empty disk
gets a new identity, drawn at random, and waits as a learner to be admitted by a committed change.

Bootstrap is the exception, for the first start only, and operators forget to turn it off. An
empty disk therefore asks its peers first. One peer that has taken part in a term is enough to
join instead, and founding needs a majority of *all other* replicas to answer that they have
not. That is safe with any one disk lost: to have voted in a term that elected a leader, a lost
replica needed the votes of half of the others, and half plus a majority of the others overlap.
Pre-vote keeps founders that wait for the rest at term 0, so they don't count as formed.
"""

from __future__ import annotations

from collections.abc import Mapping

from limelever.common.sansio import Address, CloseConnection, ConnectionId
from limelever.common.settings import is_address, parse_address
from limelever.protocol.feature_level import CURRENT_LEVEL, UNSTATED_LEVEL
from limelever.protocol.replication_pb2 import (
    JOIN_STATE_BOOTSTRAPPED,
    JOIN_STATE_EMPTY,
    JOIN_STATE_FORMED,
    CommittedMembers,
    Formatted,
    JoinRequest,
    JoinState,
    MemberSet,
)
from limelever.source import events
from limelever.source.replication.context import ReplicaContext
from limelever.source.replication.identities import new_identity
from limelever.source.replication.members import (
    BOOTSTRAP_SUFFIX,
    bootstrap_members,
    is_member,
)


class Joining:
    """Formats an empty disk, and asks for admission until this replica is a member."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._states: dict[str, JoinState.ValueType] = {}
        self._levels: dict[str, int] = {}
        self._due = 0.0
        self._told: set[str] = set()

    @property
    def wanted(self) -> bool:
        """Return whether this replica has yet to be admitted to a group, by a committed change.

        The next leader may not know of an admission that is only in the log.
        """
        context = self._context
        formatted = context.formatted
        if formatted is None:
            return True
        committed = context.log.members_at(context.commit_index)
        return not formatted.admitted and not is_member(committed, context.identity)

    def start(self) -> None:
        """Begin to ask, or found a group of one when there are no peers."""
        context = self._context
        if context.formatted is None:
            context.record(events.JOIN_WAITING, name=context.settings.name)
            self._decide()

    def on_time(self) -> None:
        """Ask the peers again when it is time."""
        context = self._context
        if not self.wanted or context.now < self._due:
            return
        self._due = context.now + context.settings.join_interval
        for connection in context.links.open_connections():
            context.send(connection, self._request(answer=False))

    def link_opened(self, connection: ConnectionId) -> None:
        """Ask a peer that can be reached now."""
        if self.wanted:
            self._context.send(connection, self._request(answer=False))

    def next_deadline(self) -> float | None:
        """Return when to ask again."""
        return self._due if self.wanted else None

    def answer(self, connection: ConnectionId) -> None:
        """Tell a peer with an empty disk what this one holds."""
        self._context.send(connection, self._request(answer=True))

    def take_answer(self, answer: JoinRequest) -> None:
        """Take a peer's state and format the disk once enough is known."""
        settings = self._context.settings
        if settings.discovers_members:
            self._told.update(name for name in answer.members if is_address(name))
        if settings.discovers_members or answer.name in settings.peers:
            self._states[answer.name] = answer.state
            self._levels[answer.name] = answer.feature_level
            self._decide()

    def seeds_listed(self, seeds: tuple[Address, ...]) -> None:
        """Ask these replicas besides."""
        self._told.update(str(seed) for seed in seeds)

    def keep_links(self, *, seek_members: bool) -> None:
        """Have links to the members of a group that discovers them.

        A replica that is not a member yet, or that seeks the members because those it knows may
        have been replaced, asks the seeds and all whom these named.
        """
        context = self._context
        if not context.settings.discovers_members:
            return
        names = {member.name for member in context.members.members}
        if self.wanted or seek_members or not names:
            names |= self._told | context.settings.peers.keys()
        peers = _addresses(names - {context.settings.name})
        for connection in context.links.keep(peers, context.now):
            context.outputs.append(CloseConnection(connection, "not a member any more"))
        context.outputs.extend(context.links.dial_due(context.now))

    def _request(self, answer: bool) -> JoinRequest:
        context = self._context
        return JoinRequest(
            identity=context.identity,
            name=context.settings.name,
            operator_address=context.settings.operator_address,
            state=self._state(),
            answer=answer,
            members=[member.name for member in context.members.members] if answer else (),
            committed=self._committed() if answer else None,
            feature_level=CURRENT_LEVEL,
        )

    def _committed(self) -> CommittedMembers:
        """Return the members at the last position known to be committed; index 0 for none."""
        context = self._context
        index = context.commit_index
        members = context.log.members_at(index)
        return CommittedMembers(
            term=context.log.term_at(index) or 0,
            index=index,
            identities=[member.identity for member in members.members],
        )

    def _state(self) -> JoinState.ValueType:
        context = self._context
        if context.formatted is None:
            return JOIN_STATE_EMPTY
        founder = bool(context.formatted.first_members.members)
        if founder and context.term == 0 and context.log.last_index == 0:
            return JOIN_STATE_BOOTSTRAPPED
        return JOIN_STATE_FORMED

    def _decide(self) -> None:
        context = self._context
        if context.formatted is not None:
            return
        if JOIN_STATE_FORMED in self._states.values():
            identity = new_identity(context.settings.name, context.random)
            self._format(identity, MemberSet())
        elif context.settings.bootstrap and self._may_found():
            names = [context.settings.name, *context.settings.peers]
            founders = bootstrap_members(names, self._levels)
            self._format(context.settings.name + BOOTSTRAP_SUFFIX, founders)

    def _may_found(self) -> bool:
        """Return whether a majority of all other replicas said that no group exists."""
        peers = self._context.settings.peers
        heard = len(self._states.keys() & peers.keys())
        return not peers or 2 * heard > len(peers)

    def _format(self, identity: str, first_members: MemberSet) -> None:
        context = self._context
        name = context.settings.name
        founder = bool(first_members.members)
        formatted = Formatted(
            identity=identity, name=name, admitted=founder, first_members=first_members
        )
        context.save_formatted(formatted)
        if founder:
            context.log.rebase(0, 0, first_members, UNSTATED_LEVEL)
        context.restart_election_timer()
        context.record(events.DISK_FORMATTED, identity=formatted.identity, bootstrap=founder)
        self._due = context.now


def _addresses(names: set[str]) -> Mapping[str, Address]:
    """Return the addresses that are the names of replicas in a group that discovers them."""
    return {name: parse_address(name) for name in sorted(names)}
