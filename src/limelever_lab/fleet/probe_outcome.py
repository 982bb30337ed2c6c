"""What the calls of one probe came to."""

from __future__ import annotations

from dataclasses import dataclass

from limelever_lab.fleet.version_watch import Reversion
from limelever_lab.load.audit import Audit
from limelever_lab.load.outcomes import CallRecord, Fate


@dataclass(frozen=True, slots=True)
class ProbeOutcome:
    """The calls of a scenario, what their audit found, and versions that went back."""

    records: tuple[CallRecord, ...]
    audit: Audit
    reversions: tuple[Reversion, ...]

    @property
    def answered(self) -> int:
        """Return how many calls were answered."""
        return sum(record.fate is Fate.ANSWERED for record in self.records)

    @property
    def failed(self) -> tuple[CallRecord, ...]:
        """Return the calls that were not answered, for the report of a failure."""
        return tuple(record for record in self.records if record.fate is not Fate.ANSWERED)
