"""Operators who race, resend and lose answers, and what must hold of the answers they got."""

from __future__ import annotations

from replication_group import service_batch

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.protocol.keys import service_key
from limelever.protocol.operators_pb2 import ApplyResponse

LOOKS_EVERY = 0.3
PATIENCE = 2.0
ONE_SHOT_CHANCE = 0.3
DOUBLE_CHANCE = 0.3
SETTLING = (ErrorKind.CONFLICT,)


class Write:
    """One request with all its sendings; ``one_shot`` ones are never sent again."""

    def __init__(self, name, expected, one_shot):
        self.name = name
        self.expected = expected
        self.one_shot = one_shot
        self.request = service_batch(name, name, expected)
        self.tokens = []

    @property
    def request_id(self):
        return self.request.batch.request_id

    def answers(self, group):
        return [group.answers[token] for token in self.tokens if token in group.answers]

    def settled(self, group):
        """Return the answers that settle it, as (accepted, version) pairs."""
        found = set()
        for answer in self.answers(group):
            if isinstance(answer, ApplyResponse):
                found.add((True, answer.version))
            elif answer.kind in SETTLING:
                found.add((False, 0))
        return found


class Operator:
    """Writes one thing after another, each until it is settled, to replicas drawn by chance."""

    def __init__(self, group, name):
        self.group = group
        self.name = name
        self.writes = []
        self.stopped = False
        self.look()

    def look(self):
        if not self.writes or self._is_done(self.writes[-1]):
            if self.stopped:
                return
            self._begin()
        elif not self.writes[-1].one_shot:
            self._send(self.writes[-1])
        self.group.after(LOOKS_EVERY, self.look)

    def _is_done(self, write):
        return write.one_shot or bool(write.settled(self.group))

    def _begin(self):
        running = self._running()
        if not running:
            return
        chance = self.group.random
        seen = self.group.version(chance.choice(running))
        expected = seen if chance.random() < 0.7 else None
        one_shot = chance.random() < ONE_SHOT_CHANCE
        self.writes.append(Write(f"{self.name}-{len(self.writes)}", expected, one_shot))
        self._send(self.writes[-1])

    def _send(self, write):
        running = self._running()
        doubled = not write.one_shot and self.group.random.random() < DOUBLE_CHANCE
        for _ in range(2 if doubled else 1):
            if running:
                name = self.group.random.choice(running)
                write.tokens.append(self.group.ask(name, write.request))

    def _running(self):
        return [name for name, node in self.group.nodes.items() if node.core]


class Storm:
    """A group with its operators; counts what the run brought about."""

    def __init__(self, group, operators):
        self.group = group
        self.operators = [Operator(group, f"operator{number}") for number in range(operators)]

    @property
    def writes(self):
        return [write for operator in self.operators for write in operator.writes]

    def settle(self):
        """Let the operators end what they have begun, on a group that is whole."""
        for operator in self.operators:
            operator.stopped = True
        open_writes = [write for write in self.writes if not write.one_shot]
        self.group.run_until(
            lambda: all(write.settled(self.group) for write in open_writes), "all is settled", 60
        )

    def check(self, state):
        """Check every answer against the final state and the log."""
        committed = {entry.batch.request_id for entry in self.group.ledger.values()}
        winners = {}
        for write in self.writes:
            settled = write.settled(self.group)
            assert len(settled) <= 1, f"{write.name} was settled in two ways: {settled}"
            held = state.get(service_key(write.name))
            for accepted, version in settled:
                assert accepted == (held is not None), (write.name, settled)
                assert not accepted or held.version == version, (write.name, settled)
                if accepted and write.expected is not None:
                    first = winners.setdefault(write.expected, write.name)
                    assert first == write.name, f"{first} and {write.name} both won"
            if write.one_shot:
                self._check_one_shot(write, committed)

    def _check_one_shot(self, write, committed):
        """Check that a refusal at the door was the truth: nothing of it is in the log."""
        for answer in write.answers(self.group):
            refused = isinstance(answer, Failure) and answer.outcome is Outcome.NOT_RUN
            if refused and answer.kind not in SETTLING:
                assert write.request_id not in committed, (write.name, answer)

    def counts(self):
        """Return how many writes were accepted, conflicted, and settled after an unknown."""
        settled = [write for write in self.writes if write.settled(self.group)]
        accepted = [write for write in settled if next(iter(write.settled(self.group)))[0]]
        unknown = [write for write in settled if self._was_unknown(write)]
        return len(accepted), len(settled) - len(accepted), len(unknown)

    def _was_unknown(self, write):
        answers = write.answers(self.group)
        return any(isinstance(a, Failure) and a.kind is ErrorKind.WRITE_UNKNOWN for a in answers)
