"""What an experiment returns, and how it is kept as JSON."""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

from limelever_lab.bench.machine import Machine


class Experiment(StrEnum):
    """The experiments of ``limelever-lab bench``."""

    CONVERGENCE = "convergence"
    BYTES = "bytes"
    STORM = "storm"
    RECOVERY = "recovery"
    BATCHING = "batching"
    STATE = "state"
    CALLS = "calls"
    SHARES = "shares"


@dataclass(frozen=True, slots=True)
class Ratio:
    """A measured figure over its baseline's, measured in the same run."""

    what: str
    measured: float
    baseline: float

    @property
    def value(self) -> float:
        """Return measured over baseline; 0 when the baseline is 0."""
        return self.measured / self.baseline if self.baseline else 0.0


@dataclass(frozen=True, slots=True)
class BenchSettings:
    """What an experiment is asked for; ``nodes`` rise."""

    deployment: str
    nodes: tuple[int, ...]
    seed: int
    batch_delay_ms: int | None = None


@dataclass(frozen=True, slots=True)
class BenchResult:
    """A whole run: what was asked, where it ran, what was measured, and the ratios.

    ``details`` is a dataclass of the experiment's own. ``unfinished`` says what was left out
    and why; a run with anything there is partial.
    """

    experiment: Experiment
    settings: BenchSettings
    machine: Machine
    seconds: float
    details: Any
    ratios: tuple[Ratio, ...] = ()
    unfinished: tuple[str, ...] = ()

    def to_json(self) -> str:
        """Return the result as JSON, each ratio with its value."""
        table = dataclasses.asdict(self)
        for ratio, entry in zip(self.ratios, table["ratios"], strict=True):
            entry["value"] = ratio.value
        return json.dumps(_rounded(table), indent=1) + "\n"

    def write(self, path: Path) -> None:
        """Keep the result in a file."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(self.to_json())


SIGNIFICANT_DIGITS = 6


def _rounded(value: Any) -> Any:
    """Round floats to what the measurement is worth."""
    if isinstance(value, float):
        return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(item) for item in value]
    return value
