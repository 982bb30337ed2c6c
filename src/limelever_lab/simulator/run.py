"""Runs one order: builds the world of a seed, lets the faults strike and judges."""

from __future__ import annotations

from limelever_lab.simulator.breaks import broken_mechanism
from limelever_lab.simulator.deployments import DEPLOYMENTS
from limelever_lab.simulator.faults import Fault, draw_faults
from limelever_lab.simulator.plan import plan_of
from limelever_lab.simulator.result import RunOrder, RunResult
from limelever_lab.simulator.world import World


def faults_of(order: RunOrder) -> tuple[Fault, ...]:
    """Return the faults of an order's seed, before any are dropped."""
    return draw_faults(order.seed, plan_of(DEPLOYMENTS[order.deployment]).population)


def run_order(order: RunOrder) -> RunResult:
    """Carry out an order and return its result."""
    drawn = faults_of(order)
    kept = range(len(drawn)) if order.kept is None else order.kept
    faults = tuple(drawn[position] for position in kept if position < len(drawn))
    with broken_mechanism(order.broken):
        world = World(order.seed, DEPLOYMENTS[order.deployment])
        world.run(faults)
    return RunResult(
        order=order,
        digest=world.environment.trace.hexdigest(),
        faults=faults,
        findings=tuple(world.findings.found),
        figures=world.figures(),
    )
