"""State: what source, relay and the nodes' processes hold and spend as the resources grow."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from limelever_lab.bench.linear_fit import LinearFit, fit
from limelever_lab.bench.member_use import MemberUse, UseMeter
from limelever_lab.bench.resources import RESOURCES_PER_SERVICE
from limelever_lab.bench.testbed import Testbed, TestbedSettings, wait_for
from limelever_lab.fleet.deployment import Deployment
from limelever_lab.fleet.member import Member

SERVICES = (50, 500, 2000)
CHANGES = 25
PAUSE_SECONDS = 0.2
REST_SECONDS = 3.0
QUIET_SECONDS = 6.0
MEBIBYTE = float(1 << 20)


@dataclass(frozen=True, slots=True)
class RoleState:
    """One role: the mean of its processes; memory in bytes, processor in core seconds.

    ``proportional_bytes`` counts a page that several processes share in parts, so it is what one
    more process of the role takes on a machine that runs others. ``written_per_change`` is what
    the kernel was made to write to storage.
    """

    role: str
    processes: int
    resident_bytes: float
    proportional_bytes: float
    quiet_processor: float
    processor_per_change: float
    written_per_change: float
    data_folder_bytes: float
    start_seconds: float


@dataclass(frozen=True, slots=True)
class StateStep:
    """One number of resources, all roles; the leader apart from the followers."""

    resources: int
    roles: tuple[RoleState, ...]


@dataclass(frozen=True, slots=True)
class StateDetails:
    """All sizes and the lines through them, a resource."""

    steps: tuple[StateStep, ...]
    fits: tuple[LinearFit, ...]


def run_state(deployment: Deployment, folder: Path, sizes: TestbedSettings) -> StateDetails:
    """Measure a fleet of its own for each of ``SERVICES``, below ``folder``."""
    steps = []
    for services in SERVICES:
        place = folder / f"services-{services}"
        place.mkdir()
        settings = dataclasses.replace(sizes, services=services)
        with Testbed(deployment, place, settings) as testbed:
            steps.append(_measure(testbed, services * RESOURCES_PER_SERVICE))
    return StateDetails(tuple(steps), _fits(steps))


def _measure(testbed: Testbed, resources: int) -> StateStep:
    wait_for(REST_SECONDS)
    groups = _groups(testbed)
    meters = {role: UseMeter(members) for role, members in groups.items()}
    wait_for(QUIET_SECONDS)
    quiet = {role: meter.stop() for role, meter in meters.items()}
    meters = {role: UseMeter(members) for role, members in groups.items()}
    for _ in range(CHANGES):
        testbed.change_scoped()
        wait_for(PAUSE_SECONDS)
    changing = {role: meter.stop() for role, meter in meters.items()}
    roles = [_role(role, groups[role], quiet[role], changing[role]) for role in groups]
    return StateStep(resources, tuple(roles))


def _groups(testbed: Testbed) -> dict[str, Sequence[Member]]:
    fleet = testbed.fleet
    leader = fleet.leader()
    followers = [member for member in fleet.sources if member is not leader]
    return {
        "source leader": [leader],
        "source follower": followers,
        "relay": fleet.relays,
        "proxy": fleet.proxies,
        "agent": fleet.agents,
    }


def _role(role: str, members: Sequence[Member], quiet: MemberUse, changing: MemberUse) -> RoleState:
    count = len(members)
    idle = quiet.processor / quiet.seconds
    spent = changing.processor - idle * changing.seconds
    return RoleState(
        role=role,
        processes=count,
        resident_bytes=sum(m.process.resident_bytes() for m in members) / count,
        proportional_bytes=sum(m.process.proportional_bytes() for m in members) / count,
        quiet_processor=idle,
        processor_per_change=spent / CHANGES,
        written_per_change=changing.written_bytes / CHANGES,
        data_folder_bytes=changing.data_folder_bytes,
        start_seconds=_start_seconds(members[0]),
    )


def _start_seconds(member: Member) -> float:
    """Kill a process and return how long it takes until it is ready again."""
    member.kill()
    began = time.monotonic()
    member.restart()
    return time.monotonic() - began


def _fits(steps: Sequence[StateStep]) -> tuple[LinearFit, ...]:
    sizes = [float(step.resources) for step in steps]
    fits = []
    for number, role in enumerate(steps[0].roles):
        states = [step.roles[number] for step in steps]
        memory = [state.resident_bytes / MEBIBYTE for state in states]
        fits.append(fit(f"{role.role} memory", "MiB", sizes, memory))
        processor = [state.processor_per_change for state in states]
        fits.append(fit(f"{role.role} processor for a change", "core seconds", sizes, processor))
        folders = [state.data_folder_bytes / MEBIBYTE for state in states]
        fits.append(fit(f"{role.role} data folder", "MiB", sizes, folders))
    return tuple(fits)
