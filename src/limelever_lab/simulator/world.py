"""A whole deployment under virtual time: processes, operators, callers, faults, checkers."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from limelever.keeper.core import KeeperCore
from limelever.protocol.operators_pb2 import ApplyRequest, GetRequest
from limelever.source.core import SourceCore
from limelever.source.messages import OperatorRequest
from limelever_lab.simulator.back_end import BackEnd
from limelever_lab.simulator.call_checker import CallChecker
from limelever_lab.simulator.callers import Callers
from limelever_lab.simulator.changes import ChangeMaker
from limelever_lab.simulator.checkers import Findings, Rule
from limelever_lab.simulator.configuration_checker import ConfigurationChecker, Holder
from limelever_lab.simulator.deployments import SimulatedDeployment
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.faults import Fault, is_contained
from limelever_lab.simulator.injector import Injector
from limelever_lab.simulator.network import Network
from limelever_lab.simulator.node import Hooks
from limelever_lab.simulator.observer import Observer
from limelever_lab.simulator.operators import Operators
from limelever_lab.simulator.plan import SOURCES, plan_of
from limelever_lab.simulator.process import Process
from limelever_lab.simulator.reader_nodes import ReaderNodes
from limelever_lab.simulator.result import RunFigures
from limelever_lab.simulator.source_nodes import SEALER, source_process
from limelever_lab.simulator.world_faults import WorldFaults

FIRST_CHANGE_AT = 4.0
FIRST_CALL_AT = 6.0
WORK_UNTIL = 30.0
QUIET_SECONDS = 15.0
"""How long after the last fault everything must be in force."""
STALE_LIMIT = 15.0
"""How long a reader may stay behind while some publisher is current: it notices a stale one
after 8 s, and needs time to find another."""
CALLS_END_BEFORE_JUDGEMENT = 8.0


class World:
    """One run of a deployment under a seed."""

    def __init__(
        self, seed: int, deployment: SimulatedDeployment, keep_lines: bool = False
    ) -> None:
        self.environment = Environment(seed, keep_lines)
        self.network = Network(self.environment, deployment.delays)
        self.deployment = deployment
        self.plan = plan_of(deployment)
        self.findings = Findings()
        self.configuration = ConfigurationChecker(self.findings)
        self.calls = CallChecker(self.findings)
        self.processes: dict[str, Process] = {}
        self._holders: dict[str, Holder] = {}
        self._back_ends: dict[str, BackEnd] = {}
        self._last_fault_at = 0.0
        self._build()
        self.operators = Operators(
            self.environment,
            self.configuration,
            ChangeMaker(self.environment.random, deployment),
            self.plan.population.sources,
            self._submit,
        )
        proxies = [self.processes[place.name].nodes[0] for place in self.plan.proxies]
        self.callers = Callers(self.environment, deployment, proxies, self.calls)
        self.injector = Injector(self.environment, self.network, self.processes)
        self._connect()

    def _build(self) -> None:
        readers = ReaderNodes(self.plan, self.deployment, self.environment, self.network)
        delay = self.deployment.batch_delay
        for place in self.plan.sources:
            process = source_process(place, self.plan, delay, self.environment, self.network)
            self.processes[place.name] = process
            self._holders[place.name] = Holder(place.name, ordered=False)
        for place in self.plan.relays:
            self.processes[place.name] = readers.relay(place)
            self._holders[place.name] = Holder(place.name)
        for place in self.plan.proxies:
            self.processes[place.name] = readers.proxy(place)
            self._holders[place.name] = Holder(place.name, frozenset(place.scope))
        for place in self.plan.agents:
            self.processes[place.name] = readers.agent(place)
            self._holders[place.name] = Holder(place.name, frozenset({place.service}))
            self._back_ends[place.name] = BackEnd(self.environment, self.calls, place.name)

    def _once_only_began(self, send_id: str) -> None:
        self.injector.once_only_call_began(self.calls.calls[send_id].proxy)

    def _connect(self) -> None:
        faults = WorldFaults(
            self.environment,
            self.network,
            self.processes,
            self.injector,
            self.operators,
            self.callers,
            self.calls,
            self._back_ends,
        )
        actions = self.injector.actions
        actions.leader = self.leader
        actions.serving = self.serving
        actions.disks_whole = self.disks_whole
        actions.begin = faults.begin
        actions.end = faults.end
        for back_end in self._back_ends.values():
            back_end.on_once_only = self._once_only_began
        observer = Observer(
            self.environment,
            self.findings,
            self.configuration,
            self.calls,
            self.operators,
            self.callers,
            self.injector,
            self.processes,
            self._holders,
            self._back_ends,
        )
        hooks = Hooks(
            observer.on_output,
            observer.after_event,
            observer.on_log,
            observer.on_stopped,
            observer.on_killed,
        )
        for process in self.processes.values():
            for node in process.nodes:
                node.hooks = hooks

    def run(self, faults: Iterable[Fault]) -> None:
        """Start everything, let the faults strike, wait out the quiet period, judge."""
        struck = tuple(faults)
        for process in self.processes.values():
            self.environment.after(self.environment.random.uniform(0.0, 1.0), process.start)
        self._last_fault_at = max([fault.end for fault in struck] + [WORK_UNTIL])
        end = self._last_fault_at + QUIET_SECONDS
        self.operators.run(FIRST_CHANGE_AT, WORK_UNTIL)
        self.callers.run(FIRST_CALL_AT, end - CALLS_END_BEFORE_JUDGEMENT)
        self.injector.schedule(struck)
        self.environment.run_until(end)
        self._judge()
        if is_contained(struck):
            proxies = [self._holders[place.name] for place in self.plan.proxies]
            self.configuration.judge_staleness(proxies, STALE_LIMIT)

    def leader(self) -> str | None:
        """Return the name of a source process that leads."""
        for name in self.plan.population.sources:
            core = self.processes[name].nodes[0].core
            if isinstance(core, SourceCore) and core.replica.leading:
                return name
        return None

    def serving(self) -> str | None:
        """Return the name of the running source process with the most subscribers."""
        counts = {
            name: core.subscriber_count
            for name in self.plan.population.sources
            if isinstance(core := self.processes[name].nodes[0].core, SourceCore)
        }
        return max(counts, key=lambda name: counts[name], default=None)

    def disks_whole(self) -> bool:
        """Return whether every source and every keeper votes: no lost disk is left to repair."""
        leader = self.leader()
        core = self.processes[leader].nodes[0].core if leader is not None else None
        if not isinstance(core, SourceCore):
            return False
        members = core.replica.status().members
        voting = sum(member.voter for member in members)
        keepers = [self.processes[name].nodes[1].core for name in self.plan.population.sources]
        formed = [item for item in keepers if isinstance(item, KeeperCore) and item.voting]
        return len(members) == voting == len(formed) == SOURCES

    def figures(self) -> RunFigures:
        """Return the counts of the run."""
        times = self.configuration.convergence_times()
        return RunFigures(
            events=self.environment.trace.count,
            accepted=len(self.configuration.history.versions),
            refused=self.operators.refused,
            calls=len(self.calls.calls),
            answered=len(self.calls.succeeded),
            refused_calls=len(self.calls.refused),
            runs=len(self.calls.runs),
            worst_convergence=max(times, default=0.0),
            median_convergence=statistics.median(times) if times else 0.0,
            settled_after=max(0.0, self.configuration.settled_at() - self._last_fault_at),
            control_bytes=sum(self.network.bytes_sent.values()),
        )

    def _submit(self, name: str, token: int, request: ApplyRequest | GetRequest) -> bool:
        """Hand a request over; a frozen process finds it when it goes on."""
        node = self.processes[name].nodes[0]
        if node.life is None:
            return False
        if isinstance(request, ApplyRequest):
            request = ApplyRequest(batch=SEALER.seal_batch(request.batch))
        node.deliver(OperatorRequest(token, request))
        return True

    def _judge(self) -> None:
        now = self.environment.now
        for request_id in sorted(self.operators.unsettled):
            self.findings.add(Rule.UNSETTLED_WRITE, now, "operator", request_id)
        self.configuration.judge_observations()
        self.configuration.judge_beliefs()
        self.configuration.judge_liveness(now, self._holders.values())
        self.calls.judge_answers(now)
        for name, process in self.processes.items():
            if not process.alive:
                self.findings.add(Rule.STOPPED, now, name, f"{process.role} does not run")
