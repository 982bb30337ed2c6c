"""Drawn disorder in a group that finds its members: cuts, deaths, lost disks, machines that go."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import then, when
from replication_node import Node
from seeded_group_steps import SEEDS, VOTERS, SeededGroup

from limelever.common.sansio import Address
from limelever.source import events
from limelever.source.replication.settings import ReplicationSettings

LARGEST_GROUP = 8
STEPS = 25
REPAIR_SECONDS = 60.0


class DrawnGroup(SeededGroup):
    """A seeded group whose later starts know three machines of the moment, as deployments do."""

    def __init__(self, seed):
        super().__init__(VOTERS)
        self.draw = Random(seed)
        self.random = Random(seed)
        self.isolated = set()
        self.machines = 0
        self.founded = False

    def settings(self, name):
        if not self.founded:
            return super().settings(name)
        others = sorted(other for other in self.nodes if other != name)
        seeds = [Address(o.split(":")[0], 1) for o in self.draw.sample(others, len(SEEDS))]
        return ReplicationSettings(
            name,
            {str(seed): seed for seed in seeds},
            seeds=tuple(seeds),
            voters=VOTERS,
            replace_after=3.0,
            operator_address=name,
        )

    def found_all(self):
        for name in self.nodes:
            self.start(name)
        self.wait_grown()
        self.founded = True

    def bears_one_more(self):
        """Return whether a majority of the newest voters would be well if one of them were struck.

        Voters that are down, cut off, behind or under a spent identity are not well. With five
        that are, two may be struck.
        """
        leader = self.nodes[self.wait_for_leader()].core.replica
        voters = [member for member in leader.status().members if member.voter]
        well = [member for member in voters if self._is_well(member, leader.commit_index)]
        return 2 * (len(well) - 1) > len(voters)

    def _is_well(self, member, commit_index):
        node = self.nodes.get(member.name)
        if node is None or node.core is None or member.name in self.isolated:
            return False
        replica = node.core.replica
        return replica.identity == member.identity and replica.commit_index >= commit_index

    def recut(self):
        self.cut = {
            frozenset((name, other))
            for name in self.isolated
            for other in self.nodes
            if other != name
        }

    # --- what strikes -------------------------------------------------------------------------

    def strike(self):
        """Do one drawn thing that the group is to bear now, then let some time pass."""
        names = ["write", "heal", "start", "come"]
        if self.bears_one_more():
            names += ["cut", "die", "wipe", "go"]
        name = self.draw.choice(names)
        getattr(self, f"_{name}")()
        self.recut()
        self.run(self.draw.choice((0.3, 1.0, 5.0)))
        return name

    def _running(self):
        return sorted(name for name, node in self.nodes.items() if node.core is not None)

    def _write(self):
        self.write()

    def _heal(self):
        if self.isolated:
            self.isolated.discard(self.draw.choice(sorted(self.isolated)))

    def _start(self):
        down = sorted(name for name, node in self.nodes.items() if node.core is None)
        if down:
            self.start(self.draw.choice(down))

    def _come(self):
        if len(self.nodes) < LARGEST_GROUP:
            self.machines += 1
            name = f"new{self.machines}:1"
            self.nodes[name] = Node(name)
            self.recut()
            self.start(name)

    def _cut(self):
        self.isolated.add(self.draw.choice(self._running()))

    def _die(self):
        self.crash(self.draw.choice(self._running()))

    def _wipe(self):
        name = self.draw.choice(self._running())
        self.crash(name)
        self.nodes[name].disk.lose()

    def _go(self):
        if len(self.nodes) > VOTERS:
            name = self.draw.choice(self._running())
            self.crash(name)
            self.isolated.discard(name)
            del self.nodes[name]

    # --- the end ------------------------------------------------------------------------------

    def repair(self):
        """Bring all back and wait until each machine that runs is a member, and five vote."""
        self.isolated.clear()
        self.recut()
        for name, node in self.nodes.items():
            if node.core is None:
                self.start(name)
        self.run_until(self.whole, "all are members again", REPAIR_SECONDS)
        self.write()

    def whole(self):
        leader = self.leader()
        if leader is None:
            return False
        members = self.nodes[leader].core.replica.status().members
        identities = {member.identity for member in members}
        running = {node.core.replica.identity for node in self.nodes.values()}
        voters = self.voters(leader)
        return (
            running <= identities and len(voters) == VOTERS and voters.keys() <= self.nodes.keys()
        )


@when("drawn disorder strikes {count:d} seeded groups, {steps:d} times each")
def when_disorder(context, count, steps):
    context.struck = Counter()
    for seed in range(count):
        group = DrawnGroup(seed)
        group.found_all()
        done = []
        try:
            for _ in range(steps):
                done.append(group.strike())
            group.repair()
            group.run_until(group.holds_all, "every write is held")
            assert not group.stopped, group.stopped
        except AssertionError as error:
            raise AssertionError(f"seed {seed} after {done}: {error}") from error
        context.struck.update(done)
        context.struck["rejoined"] += sum(
            code == events.REPLICA_REJOINS for _, code, _ in group.logged
        )


@then("each was whole again with every write, and replicas came back as others")
def then_whole(context):
    assert context.struck["rejoined"] > 0, context.struck
    assert min(context.struck.values()) > 0, context.struck
