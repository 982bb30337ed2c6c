"""Nodes of the platform under large bodies, and the memory that they take."""

from __future__ import annotations

import itertools
import json
import threading
import time
from collections import Counter
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from body_instances import ENDLESS, BodyInstance
from instance_statement_steps import start_fleet, wait_until
from platform_machines import OUTBOUND_PORT, NodeMachine
from platform_traffic import HOST_NAME, NOT_RUN, OK, Answer, ask, ask_control, document_of

MEBIBYTE = 1 << 20
LOOK_SECONDS = 0.02
DEADLINE_MS, TARGET_MS = 8000, 4000
SLOW_DEADLINE_MS = 2000
BACKEND_FAILED = 502
BYTE_SECONDS = 0.002
REST_SECONDS = 1.0
SOUND_PAUSE_SECONDS = 0.05
KINDS = {"read": "safe", "up": "upload"}


class MemoryWatch:
    """Notes the highest memory of each node, of the process's own pages alone."""

    def __init__(self, nodes: list[NodeMachine]) -> None:
        self.peak_mb = {node.name: 0.0 for node in nodes}
        self._nodes = nodes
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._over.set()
        self._thread.join()

    def now_mb(self, node: NodeMachine) -> float:
        status = Path(f"/proc/{node.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("RssAnon:"))
        return int(line.split()[1]) / 1024

    def _run(self) -> None:
        while not self._over.wait(LOOK_SECONDS):
            for node in self._nodes:
                if node.running:
                    self.peak_mb[node.name] = max(self.peak_mb[node.name], self.now_mb(node))


@given("a control process and two nodes of the platform with 300 MB each")
def given_nodes(context: Context) -> None:
    start_fleet(context, 2, BodyInstance)
    document = json.loads(document_of(2, 1, KINDS, DEADLINE_MS))
    for route in document["virtualHosts"][0]["pathRoutes"]:
        route["targetLatencyMs"] = TARGET_MS
    body = json.dumps(document).encode()
    wait_until(lambda: ask_control(context.control, "PUT", body).status == OK, "it is taken")
    time.sleep(REST_SECONDS)
    context.watch = MemoryWatch(context.nodes)
    context.add_cleanup(context.watch.stop)


def send(
    node: NodeMachine,
    request: str,
    method: str,
    path: str,
    body: bytes | None,
    deadline_ms: int = DEADLINE_MS,
) -> Answer:
    headers = {
        "Host": HOST_NAME,
        "Limelever-Attempt-Id": request,
        "Limelever-Deadline-Ms": str(deadline_ms),
    }
    limit = deadline_ms / 1000 + 1
    return ask(node.ip, OUTBOUND_PORT, method, path, body, headers, limit=limit)


def run_all(threads: list[threading.Thread]) -> None:
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when("{callers:d} caller downloads {size:d} MiB again and again for {seconds:d} seconds")
@when("{callers:d} callers download {size:d} MiB again and again for {seconds:d} seconds")
def when_downloads(context: Context, callers: int, size: int, seconds: int) -> None:
    context.size = size * MEBIBYTE
    context.answers = []
    end = time.monotonic() + seconds

    def download(number: int) -> None:
        count = 0
        while time.monotonic() < end:
            count += 1
            request = f"down-{number}-{count}"
            path = f"/read/{context.size}"
            context.answers.append(send(context.nodes[0], request, "GET", path, None))

    run_all([threading.Thread(target=download, args=(number,)) for number in range(callers)])


@then("at least {least:d} downloads were served whole, and no other had a wrong status")
def then_downloads(context: Context, least: int) -> None:
    served = [len(answer.body) for answer in context.answers if answer.status == OK]
    assert set(served) == {context.size} and len(served) >= least, Counter(served)
    others = {answer.status for answer in context.answers} - {OK, *NOT_RUN}
    assert not others, others


@when("{callers:d} callers upload {size:d} MiB at once, {times:d} times")
def when_uploads(context: Context, callers: int, size: int, times: int) -> None:
    context.answers = {}
    body = bytes(size * MEBIBYTE)

    def upload(request: str) -> None:
        context.answers[request] = send(context.nodes[0], request, "POST", "/up/x", body)

    for time_number in range(times):
        names = [f"up-{time_number}-{number}" for number in range(callers)]
        run_all([threading.Thread(target=upload, args=(name,)) for name in names])


@then("each upload was served or truly refused, and some were served")
def then_uploads(context: Context) -> None:
    statuses = Counter(answer.status for answer in context.answers.values())
    print(f"uploads by status: {dict(statuses)}; peaks: {context.watch.peak_mb}")
    for node in context.nodes:
        print(
            [
                e["fields"]
                for e in node.events()
                if e.get("event") in ("call-not-served", "attempt-failed", "call-not-admitted")
            ][-6:]
        )
    runs = Counter(request for instance in context.instances for request in instance.uploads)
    assert statuses[OK] and set(statuses) <= {OK, *NOT_RUN}, statuses
    for request, answer in context.answers.items():
        assert runs[request] == (answer.status == OK), (request, answer.status, runs[request])


@when(
    "{callers:d} callers are sent answers without end for {seconds:d} seconds, {speed}, "
    "and others sound ones"
)
def when_endless(context: Context, callers: int, seconds: int, speed: str) -> None:
    slow = speed == "a byte at a time"
    deadline_ms = SLOW_DEADLINE_MS if slow else DEADLINE_MS
    for instance in context.instances:
        instance.byte_pause = BYTE_SECONDS if slow else 0.0
    context.answers, context.sound = [], []
    end = time.monotonic() + seconds

    def ask_endless(number: int) -> None:
        paths = itertools.cycle(list(ENDLESS)[number:] + list(ENDLESS)[:number])
        for count, path in enumerate(paths):
            if time.monotonic() > end:
                return
            node = context.nodes[0]
            request = f"endless-{number}-{count}"
            answer = send(node, request, "GET", f"/read/{path}", None, deadline_ms)
            context.answers.append((path, answer.status))

    def ask_sound() -> None:
        for count in itertools.count():
            if time.monotonic() > end:
                return
            answer = send(context.nodes[0], f"sound-{count}", "GET", "/read/100", None)
            context.sound.append(answer.status)
            time.sleep(SOUND_PAUSE_SECONDS)

    threads = [threading.Thread(target=ask_endless, args=(number,)) for number in range(callers)]
    run_all([*threads, threading.Thread(target=ask_sound)])


@then("no answer without end was taken for a whole one")
def then_not_whole(context: Context) -> None:
    print(f"answers without end: {Counter(context.answers)}")
    print(f"sound ones by status: {Counter(context.sound)}; peaks: {context.watch.peak_mb}")
    assert len({path for path, _ in context.answers}) == len(ENDLESS), context.answers
    assert all(status != OK for _, status in context.answers)


@then("each kind was given up, those that are no bodies always before the deadline")
def then_given_up(context: Context) -> None:
    given_up = {path for path, status in context.answers if status == BACKEND_FAILED}
    assert given_up == set(ENDLESS), given_up
    heads = [each for each in context.answers if "body" not in ENDLESS[each[0]]]
    late = [each for each in heads if each[1] not in (BACKEND_FAILED, *NOT_RUN)]
    assert not late, Counter(late)


@then("sound calls were served in between")
def then_sound(context: Context) -> None:
    served = context.sound.count(OK)
    assert served > len(context.sound) / 2, Counter(context.sound)


@then("no node was over {most:d} MB, nor over {rest:d} MB in the end")
def then_memory(context: Context, most: int, rest: int) -> None:
    time.sleep(REST_SECONDS)
    context.watch.stop()
    peaks = context.watch.peak_mb
    assert max(peaks.values()) < most, peaks
    now = {node.name: context.watch.now_mb(node) for node in context.nodes}
    assert max(now.values()) < rest, now
