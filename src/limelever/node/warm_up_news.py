"""Selects the reports that inform an agent of the warm-up of its run of the instance.

Reports also arrive late, from former runs of the instance: the agent of the current run must hear
only of its own. It tells late reports of its run by their sequence.
"""

from __future__ import annotations

from limelever.agent.interface import WarmUpReported
from limelever.node.reports import InstanceReport, InstanceTracker, ReportOutcome

_NEW_RUN = (ReportOutcome.INSTANCE_STARTED, ReportOutcome.INSTANCE_ENDED)


class WarmUpNews:
    """Holds the newest warm-up report of the tracked run in ``latest``."""

    def __init__(self) -> None:
        self.latest: WarmUpReported | None = None

    def select(
        self, report: InstanceReport, outcome: ReportOutcome, tracker: InstanceTracker
    ) -> WarmUpReported | None:
        """Return the news for the running agent, if any.

        ``outcome`` is the tracker's for this report. The agent of a run that has just started is
        not running yet; it is to be given ``latest`` when it is.
        """
        if not tracker.is_tracked(report.instance, report.started_at_ms):
            return None
        if outcome in _NEW_RUN:
            self.latest = None
        if report.warm_up_left is None:
            return None
        news = WarmUpReported(report.sequence, report.warm_up_left)
        if self.latest is None or news.sequence > self.latest.sequence:
            self.latest = news
        return None if outcome in _NEW_RUN else news
