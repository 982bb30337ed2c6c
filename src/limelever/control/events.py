"""Numbered log events of the control process, 2600 to 2699."""

from __future__ import annotations

from limelever.common.events import Level, define

ROLLOUT_MOVED = define(
    2600,
    "rollout-moved",
    Level.INFO,
    "a rollout of a service's version took a step or ended",
    "service",
    "target",
    "permille",
    "state",
    "reason",
)
ROLLOUT_STEP_FAILED = define(
    2601,
    "rollout-step-failed",
    Level.WARNING,
    "a step of a rollout could not be put and is tried again",
    "service",
    "reason",
)
