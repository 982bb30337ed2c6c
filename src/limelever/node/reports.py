"""What instances report of themselves, and what a node makes of it.

An instance reports itself again and again. Reports may come late and out of order, so each carries
a sequence number. An identifier may come back after a crash or an end: its runs are told apart by
the time at which each was born, and of two runs of an identifier the one born later is the newer.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum, auto

from msgspec import Struct

from limelever.common.sansio import Address

RETIRED_LIMIT = 256
"""Identifiers of ended instances that are remembered, so that late reports don't revive them."""

BIRTH_UNKNOWN = 0
"""Birth of a run that didn't tell it: it can't be told from other runs of its identifier."""

EARLIER_REPORTS = 3
"""Reports in a row, none of the followed instance between them, after which another one that was
born earlier takes its place: more than a cut is likely to hold back, and with 1.5 s between two
reports an instance started after the time of day was set back is idle for 4 s at most."""


class InstanceReport(Struct, frozen=True):
    """One report.

    ``warm_up_left`` is in seconds, ``slots`` 0 where the instance names none, ``born`` the Unix
    time of the run's start in milliseconds, ``version`` that of its software, empty where it isn't
    known. Without an ``address`` it is the node's own instance.
    """

    instance: str
    service: str
    sequence: int
    draining: bool = False
    slots: int = 0
    warm_up_left: float = 0.0
    born: int = BIRTH_UNKNOWN
    address: Address | None = None
    version: str = ""


class ReportOutcome(Enum):
    """What follows from a report."""

    NOTHING_NEW = auto()
    INSTANCE_STARTED = auto()
    INSTANCE_LEAVES = auto()
    INSTANCE_ENDED = auto()
    """The run that was followed is over, and the one that took its place takes no work."""


class InstanceWatch:
    """Follows the one instance beside a node, from its own reports."""

    def __init__(self) -> None:
        self._instance = ""
        self._born = BIRTH_UNKNOWN
        self._sequence = -1
        self._leaving = False
        self._retired: OrderedDict[str, int] = OrderedDict()
        self._earlier = _EarlierInstance()

    @property
    def instance(self) -> str:
        """Return the identifier of the instance that is followed; empty when there is none."""
        return self._instance

    def is_staying(self, instance: str, born: int = BIRTH_UNKNOWN) -> bool:
        """Return whether this run is the one followed, and has not said that it leaves."""
        return self._follows(instance, born) and not self._leaving

    def reported(self, report: InstanceReport) -> ReportOutcome:
        """Take a report."""
        if self._is_over(report.instance, report.born):
            return ReportOutcome.NOTHING_NEW
        if not self._follows(report.instance, report.born):
            return self._another_run(report)
        self._earlier.reset()
        self._born = max(self._born, report.born)
        if report.sequence <= self._sequence and not report.draining:
            return ReportOutcome.NOTHING_NEW
        self._sequence = max(self._sequence, report.sequence)
        if report.draining and not self._leaving:
            self._leaving = True
            return ReportOutcome.INSTANCE_LEAVES
        return ReportOutcome.NOTHING_NEW

    def ended(self, instance: str, born: int = BIRTH_UNKNOWN) -> ReportOutcome:
        """Take the word that an instance ends; the same holds for one not heard of before."""
        if self._is_over(instance, born):
            return ReportOutcome.NOTHING_NEW
        if instance != self._instance:
            self._retire(instance, born)
            return ReportOutcome.NOTHING_NEW
        left_before = self._leaving
        self._retire(instance, max(born, self._born))
        self._instance, self._born = "", BIRTH_UNKNOWN
        self._sequence, self._leaving = -1, False
        return ReportOutcome.NOTHING_NEW if left_before else ReportOutcome.INSTANCE_LEAVES

    def _follows(self, instance: str, born: int) -> bool:
        if not instance or instance != self._instance:
            return False
        return born == self._born or BIRTH_UNKNOWN in (born, self._born)

    def _is_over(self, instance: str, born: int) -> bool:
        """Return whether this is a run that ended, or that a later one has followed."""
        if instance == self._instance:
            return BIRTH_UNKNOWN < born < self._born
        retired = self._retired.get(instance)
        if retired is None:
            return False
        return not BIRTH_UNKNOWN < retired < born

    def _another_run(self, report: InstanceReport) -> ReportOutcome:
        """Follow another run, unless it seems to have been here before the one followed."""
        was_there = bool(self._instance) and not self._leaving
        if self._instance and self._instance != report.instance:
            if BIRTH_UNKNOWN < report.born < self._born and not self._earlier.lives(report):
                return ReportOutcome.NOTHING_NEW
            self._retire(self._instance, self._born)
        self._earlier.reset()
        self._retired.pop(report.instance, None)
        self._instance, self._born = report.instance, report.born
        self._sequence = report.sequence
        self._leaving = report.draining
        if not report.draining:
            return ReportOutcome.INSTANCE_STARTED
        return ReportOutcome.INSTANCE_ENDED if was_there else ReportOutcome.NOTHING_NEW

    def _retire(self, instance: str, born: int) -> None:
        self._retired[instance] = born
        while len(self._retired) > RETIRED_LIMIT:
            self._retired.popitem(last=False)


class _EarlierInstance:
    """Reports of an instance born before the one followed.

    They are late words of one that was here before, unless they go on: then the time of day was
    set back between the two starts.
    """

    def __init__(self) -> None:
        self._last: InstanceReport | None = None
        self._count = 0

    def reset(self) -> None:
        """Forget them: the instance that is followed has reported itself."""
        self._last, self._count = None, 0

    def lives(self, report: InstanceReport) -> bool:
        """Take a report; return whether its instance is there after all."""
        last = self._last
        if last is None or (last.instance, last.born) != (report.instance, report.born):
            self._last, self._count = report, 1
        elif report.sequence > last.sequence:
            self._last, self._count = report, self._count + 1
        return self._count >= EARLIER_REPORTS
