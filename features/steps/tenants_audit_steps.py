"""Steps for the checks of keys and limits by the platform's soak, on requests made up here."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from keyed_audit import KeyedAudit
from keyed_calls import KEY_HEADER, KeyedRuns, KeyedSent, Told
from platform_tenants import OPEN, RUSHED, TenantPlan
from platform_traffic import DOWNLOAD, OK, READ, WRITE, Answer, body_of

SEED = 1
REQUEST = "00000001"
KINDS = {READ: READ, WRITE: WRITE, OPEN: OPEN}
QUOTED = re.compile(r'"([^"]*)"')


@given("the tenants of the soak")
def given_tenants(context):
    context.plan, context.runs = TenantPlan(SEED), KeyedRuns()
    context.audit = KeyedAudit(context.plan, context.runs)
    context.newest = 1
    context.sent = []


def note(context, request, tenant, headers="", at=1.0):
    context.runs.note(request)
    context.runs.note_told(request, Told(tenant, headers, at))


@when("a {kind} with {key} is answered {status:d}, and ran {told}")
def when_answered(context, kind, key, status, told):
    shown, tenant = shown_key(context, key)
    if told != "not":
        named = QUOTED.findall(told)
        headers = f"{KEY_HEADER}: Token {shown}" if "with its key" in told else ""
        note(context, REQUEST, named[0] if named else tenant, headers)
    body = body_of(REQUEST, kind) if status == OK else b""
    answer = Answer(status, body)
    context.sent.append(KeyedSent(REQUEST, KINDS[kind], "sidecar-1", answer, shown, 0.5))


def shown_key(context, key):
    """Return a key, and the tenant that had it by a configuration before the newest."""
    plan = context.plan
    if key == "no key":
        return "", ""
    if key == "an unknown key":
        return plan.unknown, ""
    if key == "a key not yet given out":
        return next(each for each in plan.wandering if each not in plan.holders_at(1)), ""
    if key == "a key taken away":
        return taken_away(context)
    (tenant,) = QUOTED.findall(key)
    return plan.key_of(tenant), tenant


def taken_away(context):
    before = context.plan.holders_at(context.newest)
    while True:
        context.newest += 1
        after = context.plan.holders_at(context.newest)
        gone = sorted(before.keys() - after.keys())
        if gone:
            return gone[0], before[gone[0]]
        before = after


@when("a download is answered with {part} of its bytes")
def when_download(context, part):
    body = body_of(REQUEST, DOWNLOAD)
    answer = Answer(OK, body if part == "all" else body[: len(body) // 2])
    key = context.plan.key_of("quay")
    note(context, REQUEST, "quay")
    context.sent.append(KeyedSent(REQUEST, DOWNLOAD, "sidecar-1", answer, key, 0.5))


@when("{count:d} requests of the tenant with a limit ran within {seconds:g} s")
def when_limited(context, count, seconds):
    key = context.plan.key_of(RUSHED)
    for number in range(count):
        request = f"{number:08x}"
        at = 1.0 + seconds * number / (count - 1)
        note(context, request, RUSHED, at=at)
        answer = Answer(OK, body_of(request, READ))
        context.sent.append(KeyedSent(request, READ, "sidecar-1", answer, key, at))


@then("the audit says {verdict}")
def then_says(context, verdict):
    broken = context.audit.broken(context.sent, context.newest)
    wanted = QUOTED.findall(verdict)
    assert bool(broken) == bool(wanted), broken
    assert all(any(each in line for line in broken) for each in wanted), broken


@then("a log that holds one of their keys is named, and one without isn't")
def then_logs(context):
    with tempfile.TemporaryDirectory() as folder:
        shows, hides = Path(folder) / "shows", Path(folder) / "hides"
        shows.write_text(f"refused {context.plan.all_keys[-1]}\n")
        hides.write_text("refused\n")
        machines = [SimpleNamespace(name=each.name, log=each) for each in (shows, hides)]
        assert context.audit.in_logs(machines) == ["shows logged a key"]
