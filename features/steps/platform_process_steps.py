"""Steps that run the platform's processes on loopback, beside a back end of the test's own."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from behave import given, then, when
from loopback_networks import LoopbackNetwork
from platform_machines import CONTROL_PORT, OUTBOUND_PORT, PORT_RANGE, READY_PORT

from limelever.cli.explain import explain

ROOT = Path(__file__).resolve().parents[2]
START = ROOT / "platform" / "start.py"
HOST = "127.0.0.1"
PATIENCE = 30
INSTANCE = "i-1"
HEALTH_PATH = "/health"
DEADLINE_MS = 800
SLOW_SECONDS = 0.5
SLOTS = 1


class BackEnd(ThreadingHTTPServer):
    """Answers as the platform's instances do, by path."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__((HOST, 0), Handler)
        self.seen: list[tuple[str, str, str]] = []
        self.instance = INSTANCE
        self.times: list[float] = []
        self._lock = threading.Lock()
        self._requests = 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def note(self, attempt: str, path: str, caller: str) -> None:
        """Record a request and when it came."""
        with self._lock:
            self.seen.append((attempt, path, caller))
            self.times.append(time.monotonic())

    @contextmanager
    def working(self):
        """Count a request for as long as it is worked on or waits."""
        with self._lock:
            self._requests += 1
        try:
            yield
        finally:
            with self._lock:
                self._requests -= 1

    @property
    def load(self) -> str:
        """Return the load header: requests running, waiting, and slots."""
        running = min(SLOTS, self._requests)
        return f"{running},{self._requests - running},{SLOTS}"

    def handle_error(self, request, client_address):
        """A caller that has left is no matter of the test."""


class Handler(BaseHTTPRequestHandler):
    """One request at the back end."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802
        attempt = self.headers.get("Limelever-Attempt-Id", "")
        caller = self.headers.get("Limelever-Caller-Service", "")
        self.server.note(attempt, self.path, caller)
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if "slow" in self.path:
            with self.server.working():
                time.sleep(SLOW_SECONDS)
        if "drop" in self.path:
            self.connection.shutdown(socket.SHUT_RDWR)
            self.close_connection = True
            return
        self.send_response(200)
        self.send_header("Limelever-Attempt-Id", attempt)
        if self.path == HEALTH_PATH:
            self.send_header("Limelever-Instance-Id", self.server.instance)
            self.send_header("Limelever-Server-Load", self.server.load)
        self.send_header("Content-Length", "4")
        self.end_headers()
        self.wfile.write(b"done")

    do_POST = do_GET  # noqa: N815

    def log_message(self, *arguments):
        """Print nothing."""


class Machine:
    """A process of the platform with its settings and its log."""

    def __init__(self, context, role, fields):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.log = Path(folder.name) / f"{role}.log"
        settings = Path(folder.name) / "boot.conf"
        lines = {**fields, "dataDir": str(Path(folder.name) / "data")}
        settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        self.role, self.settings = role, settings
        self.start()
        context.add_cleanup(self.end)

    def start(self):
        environment = {**os.environ, "LIMELEVER_SETTINGS": str(self.settings)}
        with self.log.open("a") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(START), self.role],
                env=environment,
                stdout=output,
                stderr=output,
            )

    def end(self):
        self.process.kill()
        self.process.wait()


def call(address, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection(address, timeout=PATIENCE)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except OSError:
        return 0, {}, b""
    finally:
        connection.close()


def wait_until(condition, what):
    deadline = time.monotonic() + PATIENCE
    while not condition():
        assert time.monotonic() < deadline, what
        time.sleep(0.05)


@given("a control process and a node of the platform beside a back end with 1 slot")
def given_machines(context):
    context.back_end = BackEnd()
    context.add_cleanup(context.back_end.shutdown)
    context.network = LoopbackNetwork.take()
    context.add_cleanup(context.network.close)
    core, side = context.network.address(1), context.network.address(2)
    context.operator, context.reports = f"{core}:{CONTROL_PORT}", f"{side}:{CONTROL_PORT}"
    context.outbound, context.ready = f"{side}:{OUTBOUND_PORT}", f"{side}:{READY_PORT}"
    common = {
        "zone": "one",
        "portRange": PORT_RANGE,
        "seeds": context.operator,
        "firstStart": "true",
        "faultTolerance.machines": "0",
        "bounds.graceS": "6",
        "bounds.contactMs": "3000",
        "bounds.drainMs": "2000",
        "bounds.budgetSlack": "64",
    }
    control = {
        **common,
        "nodeName": "core-1",
        "ip": core,
        "listenAddrs.control": context.operator,
    }
    node = {
        **common,
        "nodeName": "sidecar-1",
        "ip": side,
        "listenAddrs.outbound": context.outbound,
        "listenAddrs.ready": context.ready,
        "listenAddrs.control": context.reports,
        "service": "alpha",
        "appAddr": f"{HOST}:{context.back_end.server_address[1]}",
    }
    context.machines = [Machine(context, "control", control), Machine(context, "node", node)]
    context.sent = 0


SERVICES = ({"name": "alpha", "healthPath": HEALTH_PATH},)


def document(version, base, routes, services=SERVICES):
    path_routes = [
        {
            "name": f"r-{name}",
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": DEADLINE_MS,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "alpha",
            "retryAttempts": 2,
        }
        for name, kind in routes.items()
    ]
    value = {
        "version": f"r{version}",
        "baseVersion": f"r{base}",
        "services": list(services),
        "virtualHosts": [{"host": "one.example", "pathRoutes": path_routes}],
    }
    return json.dumps(value).encode()


def put(context, version, base, routes, services=SERVICES):
    context.document = document(version, base, routes, services)

    def accepted():
        return call(context.operator, "PUT", "/v1/config", context.document)[0] == 200

    wait_until(accepted, "the configuration is taken")


def heartbeat(context, **fields):
    """Return what the back end reports of itself, but for these fields."""
    report = {
        "address": f"{HOST}:{context.back_end.server_address[1]}",
        "info": {"service": "alpha", "version": "v1", "zone": "one", "slots": 1},
        "status": {"state": "ready", "seq": 1, "warmupLeftMs": 0},
    }
    return {**report, **fields}


def tell(context, report, instance=INSTANCE):
    """Send a report; return the status of the answer."""
    body = json.dumps(report).encode()
    return call(context.reports, "PUT", f"/v1/instances/{instance}", body)[0]


@when("the platform's configuration is put and the back end reports itself")
def when_put(context):
    put(context, 1, 0, {"read": "safe", "write": "unsafe", "old": "safe"})
    wait_until(lambda: tell(context, heartbeat(context)) == 200, "the report is taken")
    wait_until(lambda: call(context.ready, "GET", "/v1/ready")[0] == 200, "the node is ready")


@when("the back end reports itself, and then the platform's configuration is put")
def when_reported_first(context):
    wait_until(lambda: tell(context, heartbeat(context)) == 200, "the report is taken")
    put(context, 1, 0, {"read": "safe"})
    wait_until(lambda: call(context.ready, "GET", "/v1/ready")[0] == 200, "the node is ready")


@when("a request takes 0.5 seconds after quick ones")
def when_slow(context):
    for _ in range(5):
        wait_until(lambda: send(context, "/read/1")[1][0] == 200, "a request is served")
    context.slow_id, _ = send(context, "/read/slow")


@then("the back end was asked on its health path during that request")
def then_asked(context):
    attempts = [attempt for attempt, *_ in context.back_end.seen]
    later = context.back_end.seen[attempts.index(context.slow_id) + 1 :]
    assert HEALTH_PATH in [path for _, path, _ in later], context.back_end.seen


def send(context, path, method="GET"):
    """Send a request with an id of its own; return its id and the answer."""
    context.sent += 1
    name = f"{context.sent:016x}"
    headers = {
        "Host": "one.example",
        "Limelever-Attempt-Id": name,
        "Limelever-Deadline-Ms": str(DEADLINE_MS),
        "Limelever-Caller-Service": "forged",
    }
    body = b"{}" if method == "POST" else None
    return name, call(context.outbound, method, path, body, headers)


@then("a request through the node is answered by the back end, with the caller's service told")
def then_served(context):
    wait_until(lambda: send(context, "/read/1")[1][0] == 200, "a request is served")
    assert context.back_end.seen[-1][2] == "alpha", context.back_end.seen[-1]


@when("the node is killed and started again, and the back end reports nothing")
def when_restarted(context):
    node = context.machines[1]
    node.end()
    node.start()


@then("the configuration is read back as it was put")
def then_read_back(context):
    status, _, body = call(context.operator, "GET", "/v1/config")
    assert (status, body) == (200, context.document)


@when("more slow requests come than the slot can serve in time")
def when_overloaded(context):
    results = []
    for _ in range(3):
        send(context, "/read/slow")

    def one():
        begun = time.monotonic()
        name, (status, headers, _) = send(context, "/read/slow")
        results.append((name, status, headers, time.monotonic() - begun))

    threads = []
    for _ in range(8):
        threads.append(threading.Thread(target=one))
        threads[-1].start()
        time.sleep(0.02)
    for thread in threads:
        thread.join()
    context.results = results


@then("one of them is refused with a time to come back, before its time is over")
def then_refused(context):
    refused = [each for each in context.results if each[1] == 503]
    assert refused, context.results
    context.failed_id = min(refused, key=lambda each: each[3])[0]
    retry_after = [headers.get("Retry-After") for _, _, headers, _ in refused]
    assert all(float(each or 0) > 0 for each in retry_after), f"Retry-After: {retry_after}"
    seconds = sorted(took for *_, took in refused)
    bound = DEADLINE_MS / 1000.0 / 2
    assert seconds[0] < bound, f"refused after {seconds} s, bound {bound} s: {context.results}"


@when("the back end closes the connection on a request that may not run twice")
def when_dropped(context):
    context.failed_id, (context.status, _, _) = send(context, "/write/drop", "POST")


@then("that request is answered 502 or 504 and reached the back end once")
def then_unknown(context):
    assert context.status in (502, 504), context.status
    assert [name for name, *_ in context.back_end.seen].count(context.failed_id) == 1


@when("a request comes for a route that the configuration dropped")
def when_dropped_route(context):
    put(context, 2, 1, {"read": "safe", "write": "unsafe"})
    wait_until(lambda: send(context, "/old/1")[1][0] == 404, "the route is dropped")
    context.failed_id, (context.status, _, _) = send(context, "/old/1")


@then("that request is answered {status:d}")
def then_status(context, status):
    assert context.status == status


@when("the control process is held up and the back end says that it leaves")
def when_leaves(context):
    """Keep the leave from the node's proxy, so that its agent refuses what still comes.

    Nothing can store the leave either, so that it isn't acknowledged.
    """
    context.machines[0].process.send_signal(signal.SIGSTOP)
    assert call(context.reports, "DELETE", f"/v1/instances/{INSTANCE}")[0] == 503


@when("the control process goes on, until requests find no endpoint")
def when_heard(context):
    context.machines[0].process.send_signal(signal.SIGCONT)

    def heard():
        context.failed_id, _ = send(context, "/read/1")
        return deciding_line(context).event == "call-failed"

    wait_until(heard, "the proxy hears that the instance leaves")

    def acknowledged():
        return call(context.reports, "DELETE", f"/v1/instances/{INSTANCE}")[0] == 200

    wait_until(acknowledged, "the repeated leave is acknowledged")


@then("a request is refused as not run, and none reaches the back end any more")
def then_none_reaches(context):
    seen = len(context.back_end.seen)
    context.failed_id, (status, headers, _) = send(context, "/read/1")
    assert status == 503 and float(headers["Retry-After"]) > 0, status
    assert len(context.back_end.seen) == seen


@then('its id leads to "{event}" with the kinds "{kinds}"')
def then_explained(context, event, kinds):
    deciding = deciding_line(context)
    assert deciding.event == event, deciding
    assert deciding.fields["kind"] in kinds.split(", "), deciding


def deciding_line(context):
    """Wait until the logs name the failed request, and return the line that decided it."""
    logs = [machine.log for machine in context.machines]

    def found():
        return explain(context.failed_id, logs).deciding is not None

    wait_until(found, f"the logs name {context.failed_id}")
    return explain(context.failed_id, logs).deciding


@when("the node is asked to stop")
def when_stopped(context):
    context.machines[1].process.send_signal(signal.SIGTERM)


@then("it is not ready at once, and ends by itself with status 0")
def then_stopped(context):
    wait_until(lambda: call(context.ready, "GET", "/v1/ready")[0] != 200, "not ready")
    assert context.machines[1].process.wait(PATIENCE) == 0
