"""What instances report of themselves, and what a node makes of it.

An instance reports itself again and again. Reports may come late and out of order, so each carries
a sequence number; an identifier stands for one run of an instance and is never used by another.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum, auto

from msgspec import Struct

RETIRED_LIMIT = 256
"""Identifiers of ended instances that are remembered, so that late reports don't revive them."""


class InstanceReport(Struct, frozen=True):
    """One report; ``warm_up_left`` in seconds, ``slots`` 0 where the instance names none."""

    instance: str
    service: str
    sequence: int
    draining: bool = False
    slots: int = 0
    warm_up_left: float = 0.0


class ReportOutcome(Enum):
    """What follows from a report."""

    NOTHING_NEW = auto()
    INSTANCE_STARTED = auto()
    INSTANCE_LEAVES = auto()


class InstanceWatch:
    """Follows the one instance beside a node, from its own reports."""

    def __init__(self) -> None:
        self._instance = ""
        self._sequence = -1
        self._leaving = False
        self._retired: OrderedDict[str, None] = OrderedDict()

    @property
    def instance(self) -> str:
        """Return the identifier of the instance that is followed; empty when there is none."""
        return self._instance

    def is_staying(self, instance: str) -> bool:
        """Return whether ``instance`` is the one followed, and has not said that it leaves."""
        return instance == self._instance and not self._leaving

    def reported(self, report: InstanceReport) -> ReportOutcome:
        """Take a report."""
        if report.instance in self._retired:
            return ReportOutcome.NOTHING_NEW
        if report.instance != self._instance:
            return self._new_instance(report)
        if report.sequence <= self._sequence and not report.draining:
            return ReportOutcome.NOTHING_NEW
        self._sequence = max(self._sequence, report.sequence)
        if report.draining and not self._leaving:
            self._leaving = True
            return ReportOutcome.INSTANCE_LEAVES
        return ReportOutcome.NOTHING_NEW

    def ended(self, instance: str) -> ReportOutcome:
        """Take the word that an instance ends; the same holds for one not heard of before."""
        followed = instance == self._instance
        left_before = self._leaving
        self._retire(instance)
        if not followed:
            return ReportOutcome.NOTHING_NEW
        self._instance, self._sequence, self._leaving = "", -1, False
        return ReportOutcome.NOTHING_NEW if left_before else ReportOutcome.INSTANCE_LEAVES

    def _new_instance(self, report: InstanceReport) -> ReportOutcome:
        if self._instance:
            self._retire(self._instance)
        self._instance = report.instance
        self._sequence = report.sequence
        self._leaving = report.draining
        return ReportOutcome.NOTHING_NEW if report.draining else ReportOutcome.INSTANCE_STARTED

    def _retire(self, instance: str) -> None:
        self._retired[instance] = None
        while len(self._retired) > RETIRED_LIMIT:
            self._retired.popitem(last=False)
