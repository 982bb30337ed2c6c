"""Numbered log events of keepers: 6000 to 6999."""

from __future__ import annotations

from limelever.common.events import Level, define

KEEPER_FORMED = define(6000, "keeper-formed", Level.INFO, "keeper starts to vote", "records")
KEEPER_REJOINING = define(
    6001,
    "keeper-rejoining",
    Level.WARNING,
    "empty disk among formed keepers: copying claims before voting",
    "wait_seconds",
)
KEEPER_FULL = define(
    6002, "keeper-full", Level.WARNING, "claim refused: store is full", "claims", "bytes"
)
KEEPER_COMPACTED = define(6003, "keeper-compacted", Level.DEBUG, "log rewritten", "records")
KEEPER_RECORD_DAMAGED = define(
    6004, "keeper-record-damaged", Level.ERROR, "a record on disk does not parse", "index"
)
