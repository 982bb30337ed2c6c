"""Runs a role under cProfile and sums the time by the part of the path it was spent in.

The profiler slows calls of short functions most, so the parts are for comparison only; the
processor time of a call is measured without it.
"""

from __future__ import annotations

import cProfile
import pstats
from collections import Counter
from pathlib import Path

from limelever.agent import process as agent_process
from limelever.agent.settings import AgentSettings
from limelever.common.settings import ProcessSettings
from limelever.common.settings.reader import load_settings
from limelever.proxy import process as proxy_process
from limelever.proxy.settings import ProxySettings

PARTS = (
    ("h11", "/h11/"),
    ("hypercorn", "/hypercorn/"),
    ("httpcore", "/httpcore/"),
    ("trio", "/trio/"),
    ("protobuf", "/google/"),
    ("loguru", "/loguru/"),
    ("prometheus", "/prometheus_client/"),
    ("links", "/limelever/transport/"),
    ("framing", "/limelever/common/"),
    ("proxy", "/limelever/proxy/"),
    ("agent", "/limelever/agent/"),
    ("keeper", "/limelever/keeper/"),
    ("subscriber", "/limelever/subscriber/"),
)
SETTINGS: dict[str, type[ProcessSettings]] = {"proxy": ProxySettings, "agent": AgentSettings}
OTHER = "other"
"""Built-in functions and the standard library."""


def run_profiled(role: str, settings_file: Path, output: Path) -> int:
    """Run ``proxy`` or ``agent`` to its planned stop; write the profile to ``output``."""
    profile = cProfile.Profile()
    settings = load_settings(settings_file, SETTINGS[role])
    match settings:
        case ProxySettings():
            status = profile.runcall(proxy_process.run, settings)
        case AgentSettings():
            status = profile.runcall(agent_process.run, settings)
        case _:
            raise ValueError(f"settings of a {role} are invalid: {settings}")
    profile.dump_stats(output)
    return status


def part_seconds(profile_file: Path) -> dict[str, float]:
    """Return the seconds spent in each part of the path itself, callees not counted."""
    seconds: Counter[str] = Counter()
    statistics = pstats.Stats(str(profile_file))
    for (file_name, _, _), (_, _, own, _, _) in statistics.stats.items():  # type: ignore[attr-defined]
        seconds[_part_of(file_name)] += own
    return dict(seconds)


def _part_of(file_name: str) -> str:
    return next((part for part, piece in PARTS if piece in file_name), OTHER)
