"""Looks at every node after every event and tells the checkers what it sees."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from limelever.agent.core import AgentCore
from limelever.agent.interface import BackendProbed, DrainFinished
from limelever.common.errors import Failure
from limelever.common.sansio import Event, LogEvent, Output, Started, StopProcess
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.operators_pb2 import ApplyResponse
from limelever.proxy.call_types import AnswerCall, StopFinished
from limelever.proxy.core import ProxyCore
from limelever.relay.core import RelayCore
from limelever.source.core import SourceCore
from limelever.source.messages import OperatorAnswer
from limelever.subscriber.core import SubscriberCore
from limelever_lab.simulator.back_end import BackEnd
from limelever_lab.simulator.call_checker import CallChecker
from limelever_lab.simulator.callers import Callers
from limelever_lab.simulator.changes import SECRET_MARK
from limelever_lab.simulator.checkers import Findings, Rule
from limelever_lab.simulator.configuration_checker import ConfigurationChecker, Holder
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.injector import Injector
from limelever_lab.simulator.node import Node
from limelever_lab.simulator.operators import Operators
from limelever_lab.simulator.process import Process
from limelever_lab.simulator.source_nodes import SEALER

ANSWER_DELAY = 0.001
FIRST_PROBE_AFTER = 0.2
EXIT_DELAY = 0.2
"""Seconds a process lives on after its core has finished, for its last messages."""


@dataclass(slots=True)
class Observer:
    """The hooks of all nodes; knows the cores only by what they show."""

    environment: Environment
    findings: Findings
    configuration: ConfigurationChecker
    calls: CallChecker
    operators: Operators
    callers: Callers
    injector: Injector
    processes: dict[str, Process]
    holders: dict[str, Holder]
    back_ends: dict[str, BackEnd]
    _seen: dict[str, tuple[int, int]] = field(default_factory=dict)

    def on_output(self, node: Node, output: Output) -> None:
        """Take an output that is of a room's own."""
        name = node.names.name
        match output:
            case OperatorAnswer(token, answer):
                self.environment.after(ANSWER_DELAY, lambda: self.operators.take(token, answer))
                if isinstance(answer, ApplyResponse):
                    self.injector.change_accepted()
            case AnswerCall():
                self.callers.take(node, output)
            case DrainFinished(cut_off):
                self._drained(node, cut_off)
            case StopFinished():
                self._stopped_as_planned(name)
            case _ if name in self.back_ends:
                self.back_ends[name].take(node, output)

    def after_event(self, node: Node, event: Event) -> None:
        """Look at what the node holds now."""
        core = node.core
        if isinstance(core, SourceCore):
            self._observe_source(node, core)
        elif isinstance(core, RelayCore | ProxyCore | AgentCore) and core._subscriber is not None:
            self._observe_subscriber(node, core._subscriber)
        if isinstance(core, AgentCore) and isinstance(event, Started):
            life = node.life
            if life is not None:
                probed = BackendProbed(healthy=True)
                self.environment.after(FIRST_PROBE_AFTER, lambda: life.deliver(probed))

    def _observe_source(self, node: Node, core: SourceCore) -> None:
        if self._is_news(node, core.state.version):
            opened = (SEALER.open_versioned(item) for item in core.state.resources())
            held = (item for item in opened if not isinstance(item, Failure))
            self._observe(node, core.state.version, held)

    def _observe_subscriber(self, node: Node, subscriber: SubscriberCore) -> None:
        configuration = subscriber.configuration
        if subscriber.fresh_at is not None:
            holder = self.holders[node.names.name]
            self.configuration.believes(holder, subscriber.fresh_at, subscriber.version)
        if configuration is not None and self._is_news(node, subscriber.version):
            self._observe(node, subscriber.version, configuration.resources.values())

    def _is_news(self, node: Node, version: int) -> bool:
        seen = (node.lives, version)
        news = self._seen.get(node.names.name) != seen
        self._seen[node.names.name] = seen
        return news

    def _observe(self, node: Node, version: int, held: Iterable[VersionedResource]) -> None:
        holder = self.holders[node.names.name]
        self.configuration.observe(self.environment.now, holder, version, held)

    def on_log(self, node: Node, event: LogEvent) -> None:
        """Take a log event into the trace, and look for secrets in it."""
        text = repr(event.fields)
        now, name = self.environment.now, node.names.name
        self.environment.trace.add(now, name, f"log {event.code} {text}")
        if SECRET_MARK.decode() in text:
            self.findings.add(Rule.SECRET_IN_LOG, now, name, f"event {event.code}: {text}")

    def on_stopped(self, node: Node, output: StopProcess) -> None:
        """Take a core's wish to stop: no fault drawn here should lead to one."""
        now = self.environment.now
        self.findings.add(Rule.STOPPED, now, node.names.name, str(output.failure))

    def on_killed(self, node: Node) -> None:
        """Take the death of a node."""
        if node.names.name in self.callers.names:
            self.callers.proxy_died(node.names.name)

    def _drained(self, node: Node, cut_off: int) -> None:
        name = node.names.name
        if cut_off:
            detail = f"{cut_off} attempts were running"
            self.findings.add(Rule.CUT_OFF_BY_STOP, self.environment.now, name, detail)
        self._exit_soon(name)

    def _stopped_as_planned(self, name: str) -> None:
        for send_id in self.calls.open_calls(name):
            self.calls.cut_off_by_stop(self.environment.now, name, send_id, "has no answer")
        self._exit_soon(name)

    def _exit_soon(self, name: str) -> None:
        process = self.processes[name]
        process.held_down += 1
        self.environment.after(EXIT_DELAY, process.kill)
