"""The sizes that the users ask for, and the lines that experiments measured, brought together."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

INSTANCES = 32_000
ZONES = 9
RELAYS_A_ZONE = 4
SERVICES = 2_000
RESOURCES = 14_000
"""Two routes, three shares, a secret and the service itself, for each service."""

NODES_A_ZONE = INSTANCES / ZONES
NODES_A_RELAY = NODES_A_ZONE / RELAYS_A_ZONE


@dataclass(frozen=True, slots=True)
class TargetSize:
    """A measured line, by the beginning of its name, and the size at which it is read."""

    run: str
    quantity: str
    size: float
    of: str


@dataclass(frozen=True, slots=True)
class WorkedOut:
    """A line read at the target; ``error`` is the slope's times the size, ``None`` if unknown."""

    run: str
    quantity: str
    unit: str
    intercept: float
    slope: float
    slope_error: float | None
    of: str
    value: float
    error: float | None


SIZES = (
    *(
        TargetSize(run, quantity, size, of)
        for run in ("bytes-koszyk", "bytes-results")
        for size, of in (
            (NODES_A_ZONE, "one relay a zone"),
            (NODES_A_RELAY, f"{RELAYS_A_ZONE} relays a zone"),
        )
        for quantity in (
            "relay processor in quiet",
            "relay memory",
            "relay control bytes in quiet",
            "relay processor for a change that reaches all",
            "relay processor for a change that reaches few",
        )
    ),
    *(
        TargetSize(run, quantity, float(INSTANCES), "all nodes")
        for run in ("bytes-koszyk", "bytes-results")
        for quantity in (
            "source leader processor for a change",
            "source disk bytes written for a change",
            "source processor in quiet",
        )
    ),
    *(
        TargetSize("state-koszyk", f"{role} {quantity}", float(RESOURCES), "all resources")
        for role in ("source leader", "source follower", "relay", "proxy", "agent")
        for quantity in ("memory", "processor for a change", "data folder")
    ),
)


def work_out(results: Path, sizes: Sequence[TargetSize] = SIZES) -> list[WorkedOut]:
    """Read every line that is kept in ``results`` at its size; what is not kept is left out."""
    found = (_work_out(results, size) for size in sizes)
    return [worked for worked in found if worked is not None]


def _work_out(results: Path, size: TargetSize) -> WorkedOut | None:
    path = results / f"{size.run}.json"
    if not path.exists():
        return None
    fits = json.loads(path.read_text())["details"]["fits"]
    line = next((fit for fit in fits if fit["quantity"].startswith(size.quantity)), None)
    if line is None:
        return None
    error = line["slope_error"]
    return WorkedOut(
        run=size.run,
        quantity=line["quantity"],
        unit=line["unit"],
        intercept=line["intercept"],
        slope=line["slope"],
        slope_error=error,
        of=size.of,
        value=line["intercept"] + line["slope"] * size.size,
        error=None if error is None else error * size.size,
    )


def target_table(rows: Sequence[WorkedOut]) -> str:
    """Return a Markdown table of what was worked out."""
    lines = ["| run | quantity | line | at the target | |", "|---|---|---|---|---|"]
    for row in rows:
        measured = f"{row.intercept:.3g} + {row.slope:.3g} ± {_text(row.slope_error)} {row.unit}"
        value = f"{row.value:.3g} ± {_text(row.error)} {row.unit}"
        lines.append(f"| {row.run} | {row.quantity} | {measured} | {value} | {row.of} |")
    return "\n".join(lines)


def _text(error: float | None) -> str:
    return "?" if error is None else f"{error:.2g}"
