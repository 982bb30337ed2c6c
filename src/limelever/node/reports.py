"""Reports of the instance beside a node, and the tracker that derives its state from them.

An instance sends reports periodically. They may arrive late and out of order, so each carries a
sequence number. An instance may restart under the same identifier; its runs are distinguished by
their start times, and the one that started last is the current one.

Another instance may hold the address after the death of the first, and a late report of the dead
one must not replace it. Where start times don't show which one is current, the process identifies
the instance by a probe; if it can't, several reports in a row decide.
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct
from msgspec.structs import replace

from limelever.common.departed_runs import START_TIME_UNKNOWN, DepartedRun, DepartedRuns
from limelever.common.sansio import Address

MAX_DEPARTED_RUNS = 256
"""Runs that have left and are remembered, so that late reports don't start them again."""

TAKEOVER_REPORTS = 3
"""Reports in a row, without one of the tracked instance in between, after which an instance that is
not known to have started later replaces it if no probe can identify it. A network interruption is
unlikely to delay as many; until then the new instance is idle."""


class InstanceReport(Struct, frozen=True):
    """One report of an instance.

    ``warm_up_left`` is in seconds and ``None`` if not stated, ``slots`` is 0 if not reported,
    ``started_at_ms`` is the Unix time of the run's start, and ``version`` is that of its software,
    empty if unknown. Without an ``address`` the report is about the instance beside the node.
    """

    instance: str
    service: str
    sequence: int
    draining: bool = False
    slots: int = 0
    warm_up_left: float | None = None
    started_at_ms: int = START_TIME_UNKNOWN
    address: Address | None = None
    version: str = ""


class ReportOutcome(Enum):
    """What a report means for the agent of the instance."""

    NO_CHANGE = auto()
    INSTANCE_STARTED = auto()
    INSTANCE_DRAINING = auto()
    """The tracked run is draining, or has ended without draining first."""

    INSTANCE_ENDED = auto()
    """The tracked run has ended, and the run that replaced it is draining already."""

    IDENTITY_UNCONFIRMED = auto()
    """Another instance has reported itself, and it is not known whether it is the current one. It
    replaces the tracked one when a probe has found it: see ``confirm_identity``."""


def may_have_former_calls(report: InstanceReport) -> bool:
    """Return whether the instance may still run calls of an agent before the first of this process.

    An instance that still warms up from its start has none: sending it one call at a time would
    leave it idle just when its callers return.
    """
    return not report.warm_up_left


class InstanceTracker:
    """Tracks the one instance beside a node by its reports.

    ``can_identify`` is set once the process can find the identifier of the instance by a probe.
    """

    def __init__(self) -> None:
        self._instance = ""
        self._started_at_ms = START_TIME_UNKNOWN
        self._sequence = -1
        self._version = ""
        self._departed = DepartedRuns(MAX_DEPARTED_RUNS)
        self._candidate = _TakeoverCandidate()
        self.can_identify = False

    @property
    def instance(self) -> str:
        """Return the identifier of the tracked instance, empty if there is none."""
        return self._instance

    @property
    def version(self) -> str:
        """Return the software version that the tracked run has reported, empty if unknown."""
        return self._version

    def is_tracked(self, instance: str, started_at_ms: int = START_TIME_UNKNOWN) -> bool:
        """Return whether this is the tracked run."""
        return self._is_tracked(instance, started_at_ms)

    def is_active(self, instance: str, started_at_ms: int = START_TIME_UNKNOWN) -> bool:
        """Return whether this is the tracked run and it is not draining."""
        return self._is_tracked(instance, started_at_ms) and not self._draining

    def has_left(self, instance: str, started_at_ms: int = START_TIME_UNKNOWN) -> bool:
        """Return whether this run is known to be draining or to have ended."""
        if self._is_tracked(instance, started_at_ms):
            return self._draining
        return self._has_ended(instance, started_at_ms)

    def handle_report(self, report: InstanceReport) -> ReportOutcome:
        """Update the state from a report."""
        if self._has_ended(report.instance, report.started_at_ms):
            return ReportOutcome.NO_CHANGE
        if not self._is_tracked(report.instance, report.started_at_ms):
            return self._handle_other_run(report)
        self._candidate.reset()
        self._version = self._version or report.version
        self._started_at_ms = max(self._started_at_ms, report.started_at_ms)
        if report.sequence <= self._sequence and not report.draining:
            return ReportOutcome.NO_CHANGE
        self._sequence = max(self._sequence, report.sequence)
        if report.draining and not self._draining:
            self._departed.add(DepartedRun(self._instance, self._started_at_ms))
            return ReportOutcome.INSTANCE_DRAINING
        return ReportOutcome.NO_CHANGE

    def confirm_identity(self, report: InstanceReport, found: str) -> ReportOutcome:
        """Track the sender of a report if a probe has found it at the address.

        ``found`` is empty if the probe found no instance; several reports in a row decide then.
        """
        if report.instance == self._instance:
            return ReportOutcome.NO_CHANGE
        if self._has_ended(report.instance, report.started_at_ms):
            if found != report.instance:
                return ReportOutcome.NO_CHANGE
            return self._track(replace(report, draining=True))
        if found == report.instance or (not found and self._candidate.is_confirmed_by(report)):
            return self._track(report)
        return ReportOutcome.NO_CHANGE

    def handle_end(self, instance: str, started_at_ms: int = START_TIME_UNKNOWN) -> ReportOutcome:
        """Record that an instance has ended, even if it has never reported itself."""
        if self._has_ended(instance, started_at_ms):
            return ReportOutcome.NO_CHANGE
        if instance != self._instance:
            self._departed.add(DepartedRun(instance, started_at_ms))
            return ReportOutcome.NO_CHANGE
        was_draining = self._draining
        self._departed.add(DepartedRun(instance, max(started_at_ms, self._started_at_ms)))
        self._instance, self._started_at_ms = "", START_TIME_UNKNOWN
        self._sequence = -1
        return ReportOutcome.NO_CHANGE if was_draining else ReportOutcome.INSTANCE_DRAINING

    @property
    def _draining(self) -> bool:
        """Whether the tracked run has left."""
        return bool(self._instance) and self._departed.has(self._instance, self._started_at_ms)

    def _is_tracked(self, instance: str, started_at_ms: int) -> bool:
        if not instance or instance != self._instance:
            return False
        return started_at_ms == self._started_at_ms or START_TIME_UNKNOWN in (
            started_at_ms,
            self._started_at_ms,
        )

    def _has_ended(self, instance: str, started_at_ms: int) -> bool:
        """Return whether this run has ended or a later run of its identifier is known."""
        if instance == self._instance:
            return START_TIME_UNKNOWN < started_at_ms < self._started_at_ms
        return self._departed.has(instance, started_at_ms)

    def _handle_other_run(self, report: InstanceReport) -> ReportOutcome:
        """Track another run, unless the report seems to be a late one of a former instance.

        That it is draining is remembered in any case: the report is acknowledged.
        """
        if self._may_be_late(report):
            if report.draining:
                self._departed.add(DepartedRun(report.instance, report.started_at_ms))
                return ReportOutcome.NO_CHANGE
            if self.can_identify:
                return ReportOutcome.IDENTITY_UNCONFIRMED
            if not self._candidate.is_confirmed_by(report):
                return ReportOutcome.NO_CHANGE
        return self._track(report)

    def _may_be_late(self, report: InstanceReport) -> bool:
        """Return whether a report of another instance may be one of a former instance."""
        if not self._instance or self._instance == report.instance:
            return False
        if START_TIME_UNKNOWN in (report.started_at_ms, self._started_at_ms):
            return not self._draining
        return report.started_at_ms < self._started_at_ms

    def _track(self, report: InstanceReport) -> ReportOutcome:
        was_active = bool(self._instance) and not self._draining
        if self._instance and self._instance != report.instance:
            self._departed.add(DepartedRun(self._instance, self._started_at_ms))
        self._candidate.reset()
        self._instance, self._started_at_ms = report.instance, report.started_at_ms
        self._sequence, self._version = report.sequence, report.version
        if report.draining:
            self._departed.add(DepartedRun(report.instance, report.started_at_ms))
        else:
            return ReportOutcome.INSTANCE_STARTED
        return ReportOutcome.INSTANCE_ENDED if was_active else ReportOutcome.NO_CHANGE


class _TakeoverCandidate:
    """Counts the reports of an instance that may be a former one.

    A few are late reports. If they continue, the instance is running: it has replaced the tracked
    one without notice, or the clock was set back before it started.
    """

    def __init__(self) -> None:
        self._last: InstanceReport | None = None
        self._count = 0

    def reset(self) -> None:
        """Restart the count, as the tracked instance has reported itself."""
        self._last, self._count = None, 0

    def is_confirmed_by(self, report: InstanceReport) -> bool:
        """Count a report; return whether its instance replaces the tracked one."""
        last = self._last
        if last is None or (last.instance, last.started_at_ms) != (
            report.instance,
            report.started_at_ms,
        ):
            self._last, self._count = report, 1
        elif report.sequence > last.sequence:
            self._last, self._count = report, self._count + 1
        return self._count >= TAKEOVER_REPORTS
