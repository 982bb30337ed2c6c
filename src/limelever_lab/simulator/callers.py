"""Callers: requests at a steady rate through every proxy, resends under the same key."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from limelever.common.errors import Failure, Outcome
from limelever.proxy.call_types import AnswerCall, CallArrived, CallRequest
from limelever_lab.simulator.back_end import KEY_HEADER, SEND_HEADER, SHED_STATUS, echo_of
from limelever_lab.simulator.call_checker import Call, CallChecker
from limelever_lab.simulator.deployments import Operation, SimulatedDeployment
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.node import Node

CALLS_EACH_SECOND = 12.0
RESENDS = 4
RESEND_AFTER = 0.7
IMPATIENT_AFTER = 0.05
IMPATIENT_CHANCE = 0.1
ANSWER_LOST_CHANCE = 0.25
ANSWER_LOST_LONGEST = 6.0
"""Some callers lose the answer on their side and send again, at most so many seconds later."""
"""Some callers send again under the same key, through another proxy, before an answer came."""


@dataclass(slots=True)
class Intent:
    """What a caller wants done: one request, sent until it is settled."""

    number: int
    operation: Operation
    group: str
    target: bytes
    body: bytes
    key: str
    sends: int = 0
    settled: bool = False


@dataclass(slots=True)
class Callers:
    """All callers of a deployment."""

    environment: Environment
    deployment: SimulatedDeployment
    proxies: Sequence[Node]
    checker: CallChecker
    closed: set[str] = field(default_factory=set)
    intents: int = 0
    _sent: dict[tuple[str, int, int], tuple[Intent, str]] = field(default_factory=dict)
    _numbers: int = 0

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the proxies."""
        return tuple(node.names.name for node in self.proxies)

    def run(self, begin: float, end: float) -> None:
        """Send requests from ``begin`` to ``end`` (virtual seconds)."""
        self.environment.at(begin, lambda: self._next(end))

    def _next(self, end: float) -> None:
        if self.environment.now >= end:
            return
        self._begin()
        delay = self.environment.random.expovariate(CALLS_EACH_SECOND)
        self.environment.after(delay, lambda: self._next(end))

    def _begin(self) -> None:
        source = self.environment.random
        operation = source.choice(self.deployment.operations)
        self.intents += 1
        number = self.intents
        once = operation.at_most_once
        intent = Intent(
            number=number,
            operation=operation,
            group=source.choice(self.deployment.groups),
            target=f"{operation.path}/{number}".encode(),
            body=b"body of %d" % number if operation.method == "POST" else b"",
            key=f"key-{number}" if once else "",
        )
        self._send(intent)
        if once and source.random() < IMPATIENT_CHANCE:
            self.environment.after(IMPATIENT_AFTER, lambda: self._send(intent))

    def _send(self, intent: Intent) -> None:
        if intent.settled:
            return
        live = [
            node
            for node in self.proxies
            if node.life is not None and not node.frozen and node.names.name not in self.closed
        ]
        if not live:
            self._resend(intent)
            return
        node = self.environment.random.choice(live)
        intent.sends += 1
        self._numbers += 1
        number = self._numbers
        send_id = f"send-{intent.number}-{intent.sends}"
        self._sent[(node.names.name, node.lives, number)] = (intent, send_id)
        payload = echo_of(intent.target, intent.body)
        self.checker.sent(Call(send_id, node.names.name, intent.key, payload))
        node.deliver(CallArrived(number, self._request(intent, send_id)))

    def _request(self, intent: Intent, send_id: str) -> CallRequest:
        headers = [(SEND_HEADER, send_id.encode())]
        if intent.key:
            headers.append((KEY_HEADER, intent.key.encode()))
        return CallRequest(
            method=intent.operation.method.encode(),
            target=intent.target,
            headers=tuple(headers),
            body=intent.body,
            group=intent.group,
            idempotency_key=intent.key.encode(),
        )

    def take(self, node: Node, output: AnswerCall) -> None:
        """Take a proxy's answer to a caller."""
        found = self._sent.get((node.names.name, node.lives, output.call))
        if found is None:
            return
        intent, send_id = found
        now = self.environment.now
        answer = output.answer
        if isinstance(answer, Failure):
            self.checker.failed(now, send_id, answer.outcome, str(answer))
            again = answer.outcome is not Outcome.RAN
        elif answer.status == SHED_STATUS:
            self.checker.shed(now, send_id)
            again = True
        else:
            self.checker.answered(now, send_id, answer.status, answer.body)
            again = False
            self._lose_answer(intent)
        if again and intent.key:
            self._resend(intent)

    def _lose_answer(self, intent: Intent) -> None:
        """Settle an answered request, or let its caller send it again under the same key."""
        source = self.environment.random
        if intent.key and intent.sends < RESENDS and source.random() < ANSWER_LOST_CHANCE:
            delay = source.uniform(RESEND_AFTER, ANSWER_LOST_LONGEST)
            self.environment.after(delay, lambda: self._send(intent))
        else:
            intent.settled = True

    def proxy_died(self, name: str) -> None:
        """Let callers whose proxy died send again."""
        owed = set(self.checker.open_calls(name))
        self.checker.proxy_died(name)
        for intent, send_id in list(self._sent.values()):
            if send_id in owed and intent.key:
                self._resend(intent)

    def _resend(self, intent: Intent) -> None:
        if intent.sends < RESENDS:
            delay = RESEND_AFTER * (1.0 + self.environment.random.random())
            self.environment.after(delay, lambda: self._send(intent))
