"""What a process logs only if the program itself is at fault, or if it can't go on."""

from __future__ import annotations

from collections.abc import Iterable

FAULTS = frozenset({"internal-fault", "request-fault", "process-failed"})


def logged_faults(name: str, events: Iterable[dict]) -> list[str]:
    """Return a line for each fault among the events that a machine's processes have logged."""
    return [
        f"{name} logged {event['event']}: {event.get('fields')}"
        for event in events
        if event.get("event") in FAULTS
    ]
