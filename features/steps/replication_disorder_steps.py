"""Steps for replication under disorder of every kind, seed by seed."""

from __future__ import annotations

from behave import then
from replication_group import Group, service_batch

from limelever.protocol.operators_pb2 import (
    ApplyResponse,
    GetRequest,
)


def disturb(group, random, may_lose):
    """Do one thing that fails in the field; a lost disk only while nothing else is wrong."""
    name = random.choice(list(group.nodes))
    node = group.nodes[name]
    choice = random.random()
    if choice < 0.4:
        group.crash(name)
        group.after(random.uniform(0.1, 2), lambda: node.core or group.start(name))
    elif choice < 0.8:
        group.isolate(name)
        group.after(random.uniform(0.1, 3), group.cut.clear)
    elif may_lose:
        group.crash(name)
        node.disk.lose()
        group.start(name)


def write_somewhere(group, random, number):
    running = [name for name, node in group.nodes.items() if node.core]
    if running:
        group.ask(random.choice(running), service_batch(f"chaos{number}", f"s{number}"))


def _whole(group):
    """Return whether all replicas run and are caught up, and just they vote for the leader.

    While an identity whose disk was lost still votes, the group can't bear another loss.
    """
    leader = group.leader()
    if leader is None or group.cut or any(node.core is None for node in group.nodes.values()):
        return False
    replica = group.nodes[leader].core.replica
    voting = {member.identity for member in replica.status().members if member.voter}
    replicas = [node.core.replica for node in group.nodes.values()]
    return voting == {each.identity for each in replicas} and all(
        each.commit_index == replica.commit_index for each in replicas
    )


@then("a replica group of {size:d} keeps its promises under {seeds:d} seeds of disorder")
def _(context, size, seeds):
    for seed in range(seeds):
        group = Group(size, seed=seed, loss=0.05, snapshot_every=30)
        group.found()
        for number in range(40):
            disturb(group, group.random, may_lose=_whole(group))
            for part in range(3):
                write_somewhere(group, group.random, number * 3 + part)
                group.run(group.random.uniform(0.05, 0.8))
        accepted = [a.version for a in group.answers.values() if isinstance(a, ApplyResponse)]
        group.loss = 0.0
        group.run_until(lambda group=group: _whole(group), f"seed {seed} is whole", 60)
        last = group.accept(service_batch("last", "last"))
        assert accepted and last.version > max(accepted), (seed, accepted, last)
        held = group.answer(group.ask(group.leader(), GetRequest())).resources
        assert set(accepted) <= {item.version for item in held}, seed
        assert not group.stopped, (seed, group.stopped)
