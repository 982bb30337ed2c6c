"""Nodes: a core with its disk and links, through deaths, restarts and freezes.

A node carries out a core's outputs as the trio runner does. Events and outputs of a room's
own (an operator's request, a caller's answer) pass through :meth:`Node.deliver` and the
``on_output`` hook.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from limelever.common.sansio import (
    CloseConnection,
    ConnectionId,
    Core,
    DeadlineReached,
    Event,
    LogEvent,
    MessageReceived,
    OpenConnection,
    Output,
    Peer,
    Purpose,
    Recovered,
    Role,
    SendMessage,
    Started,
    StopProcess,
    WriteCompleted,
)
from limelever.protocol.feature_level import CURRENT_LEVEL
from limelever.storage.disk import DISK_WRITES, DiskWrite
from limelever.storage.memory import MemoryDisk
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.network import Network

MINIMUM_SYNC = 0.0005
MAXIMUM_SYNC = 0.004
"""Seconds a disk write takes, drawn between the two."""
DEADLINE_STEP = 0.000001
"""Seconds added when a core asks for a deadline that is already past."""

INCARNATION_BASE = 1000
"""A core's incarnation is this and the number of its life."""

MakeCore = Callable[[Recovered, int], Core]
"""Makes a core from what its disk held and the number of this life (1 = first)."""


@dataclass(frozen=True, slots=True)
class NodeName:
    """Who a node is: its process (what dies, freezes and is cut off together) and hello."""

    name: str
    process: str
    role: Role
    zone: str
    accepts: frozenset[Purpose] = frozenset()


@dataclass(slots=True)
class Hooks:
    """What the world wants to see of a node; each is called with the node."""

    on_output: Callable[[Node, Output], None] = lambda _node, _output: None
    after_event: Callable[[Node, Event], None] = lambda _node, _event: None
    on_log: Callable[[Node, LogEvent], None] = lambda _node, _event: None
    on_stopped: Callable[[Node, StopProcess], None] = lambda _node, _output: None
    on_killed: Callable[[Node], None] = lambda _node: None


class Life:
    """One run of a core, from start to death; the network's host."""

    def __init__(self, node: Node, core: Core, number: int) -> None:
        self.node = node
        self.core = core
        self.number = number
        self.alive = True
        self._accepted = -1

    @property
    def process(self) -> str:
        """Name of the process."""
        return self.node.names.process

    @property
    def zone(self) -> str:
        """Zone of the process."""
        return self.node.names.zone

    @property
    def frozen(self) -> bool:
        """Whether the process is frozen."""
        return self.node.frozen

    def deliver(self, event: Event) -> None:
        """Hand an event to the core if this life goes on."""
        if self.alive:
            self.node.deliver(event)

    def draw_accepted(self) -> ConnectionId:
        """Return a fresh odd connection identifier."""
        self._accepted += 2
        return self._accepted

    def introduce(self, purpose: Purpose) -> Peer:
        """Return how this side's hello names it."""
        names = self.node.names
        incarnation = INCARNATION_BASE + self.number
        return Peer(
            names.role,
            names.name,
            names.zone,
            purpose,
            incarnation=incarnation,
            feature_level=CURRENT_LEVEL,
        )


@dataclass(slots=True, eq=False)
class Node:
    """A core's place in the world; outlives the core's lives."""

    environment: Environment
    network: Network
    names: NodeName
    make_core: MakeCore
    hooks: Hooks = field(default_factory=Hooks)
    disk: MemoryDisk = field(default_factory=MemoryDisk)
    life: Life | None = None
    lives: int = 0
    frozen: bool = False
    sync_factor: float = 1.0
    _previous: Life | None = None
    _inbox: deque[Event] = field(default_factory=deque)
    _timer: float | None = None
    _handling: bool = False
    _writes: list[DiskWrite] = field(default_factory=list)
    _writing: bool = False

    @property
    def process(self) -> str:
        """Name of the process."""
        return self.names.process

    @property
    def zone(self) -> str:
        """Zone of the process."""
        return self.names.zone

    @property
    def core(self) -> Core | None:
        """Return the running core, or ``None`` while the process is down."""
        return self.life.core if self.life is not None else None

    @property
    def writing(self) -> bool:
        """Return whether a disk write is under way."""
        return self._writing

    def accepts(self, purpose: Purpose) -> bool:
        """Return whether the core takes links of this purpose."""
        return purpose in self.names.accepts

    def current_life(self) -> Life | None:
        """Return the running life, or ``None``."""
        return self.life

    def start(self) -> None:
        """Start the core from its disk; does nothing when it runs."""
        if self.life is not None:
            return
        if self._previous is not None:
            self.network.reset_half_open(self._previous)
        self.lives += 1
        self.life = Life(self, self.make_core(self.disk.recovered, self.lives), self.lives)
        self.deliver(Started())

    def kill(self, silent: bool = False) -> None:
        """End the core at once; ``silent`` as a lost machine, which closes no link."""
        life = self.life
        if life is None:
            return
        self.environment.trace.add(self.environment.now, self.names.name, "killed")
        life.alive = False
        self.life = None
        self._previous = life
        self.frozen = False
        self._inbox.clear()
        self._timer = None
        self.network.drop_host(life, silent)
        self._writes.clear()
        self._writing = False
        self.disk.crash(self.environment.random, torn=True)
        self.hooks.on_killed(self)

    def freeze(self) -> None:
        """Stop handling events; they queue up while the clock goes on."""
        self.frozen = self.life is not None

    def thaw(self) -> None:
        """Handle what queued up, in order, at the present time."""
        if not self.frozen:
            return
        self.frozen = False
        if self.life is not None:
            self._work_off(self.life)

    def deliver(self, event: Event) -> None:
        """Hand an event to the core and carry out what it asks for."""
        if self.life is None:
            return
        self._inbox.append(event)
        if not self.frozen and not self._handling:
            self._work_off(self.life)

    def _work_off(self, life: Life) -> None:
        self._handling = True
        try:
            while self._inbox and life.alive and not self.frozen:
                self._handle(life, self._inbox.popleft())
        finally:
            self._handling = False
        if life.alive:
            self._arm()

    def _handle(self, life: Life, event: Event) -> None:
        now = self.environment.now
        self._record(event, now)
        self._carry_out(life, life.core.handle(event, now))
        if life.alive:
            self.hooks.after_event(self, event)

    def _record(self, event: Event, now: float) -> None:
        if isinstance(event, MessageReceived):
            message = event.message
            payload = message.SerializeToString(deterministic=True)
            text = f"{message.DESCRIPTOR.name} on {event.connection}"
            self.environment.trace.add(now, self.names.name, text, payload)
        else:
            self.environment.trace.add(now, self.names.name, type(event).__name__)

    def _carry_out(self, life: Life, outputs: Sequence[Output]) -> None:
        for output in outputs:
            if not life.alive:
                return
            self._carry_out_one(life, output)

    def _carry_out_one(self, life: Life, output: Output) -> None:
        match output:
            case SendMessage(connection, message):
                self.network.send(life, connection, message)
            case OpenConnection(connection, address, purpose):
                self.network.dial(life, connection, address, purpose)
            case CloseConnection(connection, reason):
                self.network.close(life, connection, reason)
            case LogEvent():
                self.hooks.on_log(self, output)
            case StopProcess():
                self.hooks.on_stopped(self, output)
                self.kill()
            case _ if isinstance(output, DISK_WRITES):
                self._queue_write(life, output)
            case _:
                self.hooks.on_output(self, output)

    def _queue_write(self, life: Life, write: DiskWrite) -> None:
        self._writes.append(write)
        if not self._writing:
            self._begin_writes(life)

    def _begin_writes(self, life: Life) -> None:
        group, self._writes = self._writes, []
        self._writing = bool(group)
        if not group:
            return
        self.disk.begin(group)
        delay = self.environment.random.uniform(MINIMUM_SYNC, MAXIMUM_SYNC) * self.sync_factor
        self.environment.after(delay, lambda: self._finish_writes(life, group))

    def _finish_writes(self, life: Life, group: list[DiskWrite]) -> None:
        if not life.alive:
            return
        self.disk.finish()
        for write in group:
            life.deliver(WriteCompleted(write.token))
        if life.alive:
            self._begin_writes(life)

    def _arm(self) -> None:
        life = self.life
        if life is None or self.frozen:
            return
        deadline = life.core.next_deadline()
        if deadline is None or (self._timer is not None and self._timer <= deadline):
            return
        now = self.environment.now
        due = max(deadline, now + DEADLINE_STEP)
        self._timer = due
        self.environment.at(due, lambda: self._fire(life, due))

    def _fire(self, life: Life, due: float) -> None:
        if not life.alive or self._timer != due:
            return
        self._timer = None
        if self.frozen:
            return
        deadline = life.core.next_deadline()
        if deadline is not None and deadline <= self.environment.now:
            self.deliver(DeadlineReached())
        else:
            self._arm()
