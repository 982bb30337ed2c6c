"""Steps on loopback networks of tests that run at once."""

from __future__ import annotations

import random

from behave import then, when
from loopback_networks import LoopbackNetwork


def take(context):
    network = LoopbackNetwork.take(random.Random(context.network_seed))
    context.add_cleanup(network.close)
    return network


@when("two tests draw a loopback network from the same numbers")
def when_two(context):
    context.network_seed = random.randrange(1 << 32)
    context.first, context.second = take(context), take(context)


@then("they get different ones")
def then_differ(context):
    assert context.first.prefix != context.second.prefix


@when("the first gives its network back and a third draws from the same numbers")
def when_third(context):
    context.first.close()
    context.third = take(context)


@then("the third gets the network of the first")
def then_same(context):
    assert context.third.prefix == context.first.prefix
