"""Steps for news of requests under which back ends have ended, among relays and proxies."""

from behave import then, when

from limelever.quarantine.fingerprint import Fingerprint

REQUEST = Fingerprint.of("orders", b"GET", b"/orders/1", b"")


@when('the agent "{name}" tells of crash {crash:d}')
def step_tell(context, name, crash):
    context.agents[name].tell_crash(REQUEST, crash)


@then('the proxies "{names}" know {count:d} crashes of the request')
def step_know(context, names, count):
    for name in names.split(", "):
        held = context.mesh.network.nodes[name].core.evidence.get(REQUEST.request)
        assert held is not None and held.consecutive_crashes == count, (name, held)


@then("each was told {count:d} times at most")
def step_told(context, count):
    for name in context.proxies:
        told = context.mesh.network.nodes[name].core.crash_news
        assert told <= count, (name, told)
