"""Steps for what the settings of the platform's processes make of the memory of a machine."""

from __future__ import annotations

import math

from behave import then
from control_boot import control_settings
from node_boot import node_settings
from platform_steps import NODE_FIELDS  # makes platform/ importable

MEGABYTE = 1_000_000
CONTROL_FIELDS = {
    "dataDir": "/data",
    "listenAddrs.control": "127.0.0.1:8144",
    "faultTolerance.machines": "2",
}


def with_memory(fields, memory):
    stated = {} if memory == "missing" else {"limits.memoryMb": memory}
    return {**fields, **stated}


@then("with {memory} MB a node may hold {bodies:g} MB of bodies")
def then_bodies(context, memory, bodies):
    settings = node_settings(with_memory(NODE_FIELDS, memory))
    total = settings.bodies.total_bytes
    assert math.isclose(total / MEGABYTE, bodies), total
    assert settings.edge.buffered_bytes >= total <= settings.calls.assembly_bytes
    assert settings.queue.total_bytes >= total


@then(
    "with {memory} MB a control process may keep {values:g} MB of former values at each publisher"
)
def then_values(context, memory, values):
    settings = control_settings(with_memory({**NODE_FIELDS, **CONTROL_FIELDS}, memory))
    for size in (settings.publishing.window_bytes, settings.distribution.window_bytes):
        assert math.isclose(size / MEGABYTE, values), size
