"""Steps for instances that start again under their identifier, and for reports of others."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import early_listener
from behave import then, when
from platform_process_steps import (
    INSTANCE,
    call,
    deciding_line,
    heartbeat,
    put,
    send,
    tell,
    wait_until,
)

OK, BAD_REQUEST = 200, 400
PLATFORM = Path(early_listener.__file__).parent
PROBE_AND_REGISTRATION_SECONDS = 1.0
"""Time in which a wrong replacement would have been registered."""


def status(number, state="ready"):
    return {"state": state, "seq": number, "warmupLeftMs": 0}


def leases(context):
    return context.machines[1].log.read_text().count('"lease-granted"')


@when("the back end, born at {born:d}, says report {number:d}")
def when_says(context, born, number):
    context.leases = leases(context)
    assert tell(context, heartbeat(context, born=born, status=status(number))) == OK


@when("the back end, born at {born:d}, says late that it leaves and ends")
def when_late(context, born):
    leaving = heartbeat(context, born=born, status=status(99, "draining"))
    assert tell(context, leaving) == OK
    body = json.dumps({"born": born}).encode()
    assert call(context.reports, "DELETE", f"/v1/instances/{INSTANCE}", body)[0] == OK


@when("reports come that name no instance beside the node")
def when_strange(context):
    elsewhere = heartbeat(context, address="10.9.9.9:1")
    unknown = heartbeat(context, info={**heartbeat(context)["info"], "service": "unknown"})
    asleep = heartbeat(context, status=status(5, "asleep"))
    statuses = [tell(context, report, "i-2") for report in (elsewhere, unknown, asleep, [])]
    statuses.append(call(context.reports, "PUT", "/v1/instances/i-2", b"\xff\x00")[0])
    assert statuses == [BAD_REQUEST] * 5, statuses


@when('{count:d} late reports of "{instance}" arrive, which is dead')
def when_dead_reports(context, count, instance):
    wait_until(lambda: leases(context), "a lease of the first run")
    context.leases = leases(context)
    for number in range(count):
        assert tell(context, heartbeat(context, status=status(50 + number)), instance) == OK


@when('the back end is replaced by "{instance}", which reports itself')
def when_replaced(context, instance):
    context.leases = leases(context)
    context.back_end.instance = instance
    assert tell(context, heartbeat(context, status=status(1)), instance) == OK


@when("the node takes reports, without a configuration")
def when_unconfigured(context):
    wait_until(lambda: call(context.reports, "GET", "/v1/instances/i-1")[0], "the node listens")


@then('a report of "{instance}" of service "{service}" is answered with {expected:d}')
def then_report_answered(context, instance, service, expected):
    info = {**heartbeat(context)["info"], "service": service}
    assert tell(context, heartbeat(context, info=info), instance) == expected


@then('the end of "{instance}" is answered with {expected:d}')
def then_end_answered(context, instance, expected):
    assert call(context.reports, "DELETE", f"/v1/instances/{instance}")[0] == expected


@when('the configuration is put, which has no service "beta"')
def when_configuration_put(context):
    put(context, 1, 0, {"read": "safe"})
    wait_until(lambda: call(context.ready, "GET", "/v1/ready")[0] == OK, "the node is ready")


@then('a draining report of "{instance}" of service "{service}" is answered with {expected:d}')
def then_draining_answered(context, instance, service, expected):
    info = {**heartbeat(context)["info"], "service": service}
    leaving = heartbeat(context, info=info, status=status(9, "draining"))
    assert tell(context, leaving, instance) == expected


@then("a node opens its address for reports before it imports the product")
def then_opened_early(context):
    script = (
        "import socket, sys; sys.path.insert(0, sys.argv[1]); import early_listener as early; "
        "opened = early.open_early(); address = opened.getsockname(); "
        "socket.create_connection(address).close(); "
        "assert not any(name.startswith(('limelever', 'trio')) for name in sys.modules)"
    )
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "boot.conf"
        settings.write_text("listenAddrs.control=127.0.0.1:0\n")
        environment = {**os.environ, early_listener.PATH_VARIABLE: str(settings)}
        subprocess.run([sys.executable, "-c", script, str(PLATFORM)], env=environment, check=True)


@then("without a usable address the early listener is left out")
def then_left_out(context):
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "boot.conf"
        for text in ("", "listenAddrs.control=nowhere\n", "listenAddrs.control=127.0.0.1:x\n"):
            settings.write_text(text)
            os.environ[early_listener.PATH_VARIABLE] = str(settings)
            assert early_listener.open_early() is None, text
        del os.environ[early_listener.PATH_VARIABLE]


@then("the instance beside the node is the same")
def then_same(context):
    time.sleep(PROBE_AND_REGISTRATION_SECONDS)
    assert leases(context) == context.leases


@then("another endpoint is registered for it")
def then_registered(context):
    wait_until(lambda: leases(context) > context.leases, "a lease of the new run")


@then("a request through the node fails for want of an endpoint")
def then_none(context):
    def failed():
        context.failed_id, (answer, _, _) = send(context, "/read/1")
        return answer != OK and deciding_line(context).event == "call-failed"

    wait_until(failed, "the endpoint is gone")


@then("one line of the node's log tells of them")
def then_logged(context):
    assert context.machines[1].log.read_text().count('"report-refused"') == 1
