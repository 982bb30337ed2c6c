"""What each role and the hollow nodes used over a stretch of time."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass

from limelever_lab.bench.hollow_fleet import HollowFleet, HollowTotals, total
from limelever_lab.bench.member_use import folder_bytes
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.member import Member


@dataclass(frozen=True, slots=True)
class RoleUsage:
    """Use of one role's processes, of each: part of a core, memory, control and disk bytes.

    ``largest_processor`` is the busiest process's: for the source, mostly the leader's.
    ``data_folder_growth_each`` counts what the files grew by and may be negative after a
    compaction; ``written_bytes_each`` is what the kernel was made to write to storage, in pages.
    """

    role: str
    processes: int
    processor_each: float
    largest_processor: float
    resident_bytes_each: float
    control_bytes_per_second_each: float
    data_folder_growth_each: float
    written_bytes_each: float


@dataclass(frozen=True, slots=True)
class HollowUsage:
    """Use of hollow nodes, for each node: part of a core, resident memory, bytes a second.

    A process's own part, about 45 MB without nodes, is spread over its nodes.
    """

    nodes: int
    processes: int
    processor_each: float
    resident_bytes_each: float
    subscription_bytes_per_second_each: float
    registration_bytes_per_second_each: float
    subscription_bytes_each: float


@dataclass(frozen=True, slots=True)
class Usage:
    """Use of everything over ``seconds``."""

    seconds: float
    roles: tuple[RoleUsage, ...]
    hollow: HollowUsage

    def role(self, name: str) -> RoleUsage:
        """Return one role's use."""
        return next(usage for usage in self.roles if usage.role == name)


@dataclass(frozen=True, slots=True)
class _MemberState:
    processor: float
    control_bytes: float
    data_folder_bytes: int
    written_bytes: int


class UsageMeter:
    """Measures from :meth:`start` to :meth:`stop`; processes must live through it."""

    def __init__(self, fleet: Fleet, hollow: HollowFleet) -> None:
        self._roles: dict[str, Sequence[Member]] = {
            "source": fleet.sources,
            "relay": fleet.relays,
            "proxy": fleet.proxies,
            "agent": fleet.agents,
        }
        self._hollow = hollow
        self._before: dict[str, _MemberState] = {}
        self._hollow_before: HollowTotals | None = None
        self._started = 0.0

    def start(self) -> None:
        """Begin to measure."""
        self._before = {
            member.name: _state(member) for members in self._roles.values() for member in members
        }
        self._hollow_before = total(self._hollow.samples())
        self._started = time.monotonic()

    def stop(self) -> Usage:
        """Return the use since the start."""
        seconds = time.monotonic() - self._started
        hollow = total(self._hollow.samples())
        roles = [self._role(role, members, seconds) for role, members in self._roles.items()]
        return Usage(seconds, tuple(roles), self._hollow_usage(hollow, seconds))

    def _role(self, role: str, members: Sequence[Member], seconds: float) -> RoleUsage:
        after = {member.name: _state(member) for member in members}
        parts = [
            (after[m.name].processor - self._before[m.name].processor) / seconds for m in members
        ]
        before = [self._before[member.name] for member in members]
        pairs = list(zip(before, (after[member.name] for member in members), strict=True))
        moved = sum(now.control_bytes - then.control_bytes for then, now in pairs)
        grown = sum(now.data_folder_bytes - then.data_folder_bytes for then, now in pairs)
        written = sum(now.written_bytes - then.written_bytes for then, now in pairs)
        count = len(members)
        return RoleUsage(
            role=role,
            processes=count,
            processor_each=sum(parts) / count,
            largest_processor=max(parts),
            resident_bytes_each=sum(m.process.resident_bytes() for m in members) / count,
            control_bytes_per_second_each=moved / seconds / count,
            data_folder_growth_each=grown / count,
            written_bytes_each=written / count,
        )

    def _hollow_usage(self, after: HollowTotals, seconds: float) -> HollowUsage:
        before = self._hollow_before
        assert before is not None
        nodes = max(1, self._hollow.nodes)
        subscription = after.subscription_bytes - before.subscription_bytes
        registration = after.registration_bytes - before.registration_bytes
        return HollowUsage(
            nodes=self._hollow.nodes,
            processes=len(self._hollow.processes),
            processor_each=(after.processor - before.processor) / seconds / nodes,
            resident_bytes_each=after.resident_bytes / nodes,
            subscription_bytes_per_second_each=subscription / seconds / nodes,
            registration_bytes_per_second_each=registration / seconds / nodes,
            subscription_bytes_each=subscription / nodes,
        )


def _state(member: Member) -> _MemberState:
    return _MemberState(
        processor=member.process.processor_seconds(),
        control_bytes=member.control_bytes(),
        data_folder_bytes=folder_bytes(member.data_folder),
        written_bytes=member.process.written_bytes(),
    )
