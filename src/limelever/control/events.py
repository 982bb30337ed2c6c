"""Numbered log events of the control process, 2600 to 2699."""

from __future__ import annotations

from limelever.common.events import Level, define

ROLLOUT_MOVED = define(
    2600,
    "rollout-moved",
    Level.INFO,
    "a rollout advanced or ended",
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
    "a rollout step could not be written and will be retried",
    "service",
    "reason",
)
