"""Steps for elections on slow disks, in virtual time."""

from __future__ import annotations

from statistics import median

from behave import then, when
from slow_disk_group import SlowDisks, measure

ATTEMPTS = 3
"""Attempts within which each group has a leader: two may be lost to candidates side by side."""

FIRST_CONTACT = 1.0
"""Seconds until replicas that start at once know of each other: links and the join interval."""

ELECTIONS = ("first start", "restart of all", "loss of the leader")


def elect(context, size, seeds, timeout, disks):
    context.attempt = 2 * timeout + 2 * disks.seconds
    context.first_extra = FIRST_CONTACT + disks.seconds
    rows = [measure(size, seed, timeout, disks) for seed in range(1, seeds + 1)]
    context.seconds = dict(zip(ELECTIONS, zip(*rows, strict=True), strict=True))


@when(
    "groups of {size:d} elect under {seeds:d} seeds with an election timeout of {timeout:g} s"
    " on disks that sync in {sync:g} s"
)
def when_all_slow(context, size, seeds, timeout, sync):
    elect(context, size, seeds, timeout, SlowDisks(sync))


@when(
    "groups of {size:d} elect under {seeds:d} seeds with an election timeout of {timeout:g} s,"
    " {slow:d} disks syncing in {sync:g} s"
)
def when_some_slow(context, size, seeds, timeout, slow, sync):
    elect(context, size, seeds, timeout, SlowDisks(sync, slow=slow))


@when(
    "groups of {size:d} elect under {seeds:d} seeds with an election timeout of {timeout:g} s"
    " on disks that sync in up to {sync:g} s"
)
def when_drawn(context, size, seeds, timeout, sync):
    elect(context, size, seeds, timeout, SlowDisks(sync, drawn=True))


@then("half of the groups have a leader after one attempt, and all after three")
def then_bounded(context):
    failures = []
    for election, seconds in context.seconds.items():
        extra = context.first_extra if election == "first start" else 0.0
        if median(seconds) > context.attempt + extra:
            failures.append(f"{election}: half within {median(seconds):.2f} s")
        if max(seconds) > ATTEMPTS * context.attempt + extra:
            seed = seconds.index(max(seconds)) + 1
            failures.append(f"{election}: {max(seconds):.2f} s with seed {seed}")
    assert not failures, (context.attempt, failures)
