"""Prints docs/EVENTS.md from the event kinds that the rooms define."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Iterable

import typer

import limelever
from limelever.common.events import CATALOGUE, EventKind

EVENT_MODULE_SUFFIX = "events"
HEADING = """# Log events

Every event that a process logs has a number, which is never reused. This page is printed by
`limelever-lab docs-events`, and a test holds it against the code.

| code | name | level | text | fields |
|---|---|---|---|---|
"""


def import_event_modules() -> None:
    """Import every ``limelever.*events`` module, which fills the catalogue."""
    for package in pkgutil.walk_packages(limelever.__path__, "limelever."):
        if package.name.endswith(EVENT_MODULE_SUFFIX):
            importlib.import_module(package.name)


def render(kinds: Iterable[EventKind]) -> str:
    """Return the page for these event kinds, in order of their codes."""
    rows = [
        f"| {kind.code} | {kind.name} | {kind.level} | {kind.text} | {', '.join(kind.fields)} |\n"
        for kind in sorted(kinds, key=lambda kind: kind.code)
    ]
    return HEADING + "".join(rows)


def docs_events() -> None:
    """Print docs/EVENTS.md."""
    import_event_modules()
    typer.echo(render(CATALOGUE.values()), nl=False)
