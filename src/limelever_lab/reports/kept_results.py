"""Reads the results that experiments kept as JSON, as far as they are drawn."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class BatchPoint:
    """One batch delay: convergence in milliseconds, bytes a reader and change."""

    batch_delay_ms: int
    p50_ms: float
    p99_ms: float
    bytes_per_change: float


@dataclass(frozen=True, slots=True)
class BatchCurve:
    """The batch delays of one deployment."""

    deployment: str
    own_batch_delay_ms: int
    points: tuple[BatchPoint, ...]


@dataclass(frozen=True, slots=True)
class WriteSpan:
    """A write: begun at ``at`` seconds, answered and in force after so many milliseconds."""

    at: float
    answered_ms: float
    in_force_ms: float | None


@dataclass(frozen=True, slots=True)
class NamedMoment:
    """What was done or seen at ``at`` seconds."""

    at: float
    what: str


@dataclass(frozen=True, slots=True)
class RecoveryCourse:
    """The course of losses on one deployment."""

    deployment: str
    writes: tuple[WriteSpan, ...]
    moments: tuple[NamedMoment, ...]


@dataclass(frozen=True, slots=True)
class GroupPart:
    """A group in one phase: the part of all calls that it got, and the part it had a right to."""

    group: str
    served_part: float
    entitled_part: float


@dataclass(frozen=True, slots=True)
class SharePhase:
    """One load offered in one way."""

    name: str
    groups: tuple[GroupPart, ...]


def batch_curves(folder: Path) -> list[BatchCurve]:
    """Return the kept results of ``batching``."""
    return [_batch_curve(table) for table in _tables(folder, "batching")]


def recovery_courses(folder: Path) -> list[RecoveryCourse]:
    """Return the kept results of ``recovery``."""
    return [_recovery_course(table) for table in _tables(folder, "recovery")]


def share_phases(folder: Path) -> list[SharePhase]:
    """Return the phases of all kept results of ``shares``."""
    return [_share_phase(phase) for table in _tables(folder, "shares") for phase in table["phases"]]


def _tables(folder: Path, experiment: str) -> Iterator[dict[str, Any]]:
    for path in sorted(folder.glob(f"{experiment}*.json")):
        yield json.loads(path.read_text())


def _batch_curve(table: dict[str, Any]) -> BatchCurve:
    details = table["details"]
    points = tuple(
        BatchPoint(
            batch_delay_ms=point["batch_delay_ms"],
            p50_ms=point["convergence"]["each"]["p50_ms"],
            p99_ms=point["convergence"]["each"]["p99_ms"],
            bytes_per_change=point["bytes_per_change"],
        )
        for point in details["points"]
    )
    return BatchCurve(table["settings"]["deployment"], details["own_batch_delay_ms"], points)


def _recovery_course(table: dict[str, Any]) -> RecoveryCourse:
    details = table["details"]
    writes = tuple(
        WriteSpan(write["at"], write["answered_ms"], write["in_force_ms"])
        for write in details["writes"]
    )
    moments = tuple(NamedMoment(moment["at"], moment["what"]) for moment in details["moments"])
    return RecoveryCourse(table["settings"]["deployment"], writes, moments)


def _share_phase(phase: dict[str, Any]) -> SharePhase:
    groups = tuple(
        GroupPart(group["group"], group["served_part"], group["entitled_part"])
        for group in phase["groups"]
    )
    return SharePhase(phase["name"], groups)
