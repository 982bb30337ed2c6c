"""A simulated process: the cores that start, die, freeze and are cut off together."""

from __future__ import annotations

from dataclasses import dataclass, field

from limelever.common.sansio import Role
from limelever_lab.simulator.node import Node


@dataclass(slots=True, eq=False)
class Process:
    """One operating system process with its nodes, in the order in which they start.

    ``held_down`` counts the faults that keep the process from being started; ``retired`` is
    set once a planned stop ended it.
    """

    name: str
    role: Role
    nodes: list[Node] = field(default_factory=list)
    held_down: int = 0
    retired: bool = False

    @property
    def alive(self) -> bool:
        """Return whether every core runs."""
        return all(node.life is not None for node in self.nodes)

    def start(self) -> None:
        """Start the cores unless a fault holds the process down."""
        if self.held_down or self.retired:
            return
        for node in self.nodes:
            node.start()

    def kill(self, silent: bool = False) -> None:
        """End all cores at once."""
        for node in self.nodes:
            node.kill(silent)

    def freeze(self) -> None:
        """Stop all cores from handling events."""
        for node in self.nodes:
            node.freeze()

    def thaw(self) -> None:
        """Let all cores handle what queued up."""
        for node in self.nodes:
            node.thaw()

    def lose_disk(self) -> None:
        """Empty every disk; the process must be down."""
        for node in self.nodes:
            node.disk.lose()
