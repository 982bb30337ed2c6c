"""Steps for the crash history that relays replicate to proxies."""

from behave import then, when

from limelever.quarantine.fingerprint import Fingerprint

REQUEST = Fingerprint.of("orders", b"GET", b"/orders/1", b"")


@when('the agent "{name}" reports crash {crash:d}')
def step_report_crash(context, name, crash):
    context.agents[name].report_crash(REQUEST, crash)


@then('the proxies "{names}" know of {count:d} consecutive crashes of the request')
def step_known_crashes(context, names, count):
    for name in names.split(", "):
        record = context.mesh.network.nodes[name].core.evidence.get(REQUEST.request)
        assert record is not None and record.consecutive_crashes == count, (name, record)


@then("each proxy received at most {count:d} crash updates")
def step_update_count(context, count):
    for name in context.proxies:
        received = context.mesh.network.nodes[name].core.crash_news
        assert received <= count, (name, received)
