"""Steps for uploads that become complete late in the stop of a node of the platform."""

from __future__ import annotations

import time
from dataclasses import dataclass

from behave import then, when
from platform_traffic import WRITE
from stop_limit_steps import (
    NOT_RUN_ANSWER,
    PATIENCE_SECONDS,
    UPLOAD_BYTES,
    Connection,
    request,
)

AT_ONCE_SECONDS = 0.5
LONG_MS, SHORT_MS = 8000, 900


@dataclass
class LateUpload:
    """An upload without its last byte, and when that was sent."""

    name: str
    connection: Connection
    sent_at: float = 0.0

    def finish(self) -> None:
        self.sent_at = time.monotonic()
        self.connection.send(b"x")


def begin(context, milliseconds: int) -> LateUpload:
    name = f"late-{milliseconds}"
    whole = request(WRITE, name, bytes(UPLOAD_BYTES), milliseconds)
    return LateUpload(name, Connection(context.first, whole[:-1]))


@when(
    "callers begin uploads, the other node is asked to stop, "
    "and their last bytes come {seconds:g} seconds later"
)
def late_uploads(context, seconds):
    context.uploads = {each: begin(context, each) for each in (LONG_MS, SHORT_MS)}
    time.sleep(AT_ONCE_SECONDS)
    asked_at = time.monotonic()
    context.first.process.terminate()
    time.sleep(seconds)
    for upload in context.uploads.values():
        upload.finish()
    context.status = context.first.process.wait(PATIENCE_SECONDS)
    context.seconds = time.monotonic() - asked_at


@then(
    "the upload with {milliseconds:d} ms left was refused at once as not run, "
    "and its connection closed"
)
def refused_at_once(context, milliseconds):
    upload = context.uploads[milliseconds]
    answer = upload.connection.ended()
    assert NOT_RUN_ANSWER.match(answer) and b"connection: close" in answer, answer
    took = upload.connection.answered_at - upload.sent_at
    assert took < AT_ONCE_SECONDS, took


@then("the upload with {milliseconds:d} ms left was answered by the instance")
def answered(context, milliseconds):
    answer = context.uploads[milliseconds].connection.ended()
    assert answer.startswith(b"HTTP/1.1 200 "), answer


@then("the instance has run no other upload")
def none_other(context):
    ran = [name for name in context.runs.by_id if name.startswith("late-")]
    assert ran == [f"late-{SHORT_MS}"], ran


@when(
    "the instance's node is asked to stop, "
    "and the other node for an upload that the instance would hold"
)
def upload_to_stopping(context):
    context.runs.hold()
    context.second.process.terminate()
    time.sleep(AT_ONCE_SECONDS)
    whole = request(WRITE, "to-stopping", bytes(UPLOAD_BYTES), LONG_MS)
    context.uploads = {LONG_MS: LateUpload("to-stopping", Connection(context.first, whole))}
    context.uploads[LONG_MS].sent_at = time.monotonic()


@then("that upload was refused at once as not run, and the instance has not run it")
def refused_and_not_run(context):
    upload = context.uploads[LONG_MS]
    assert wait_for_answer(upload.connection), "no answer"
    took = upload.connection.answered_at - upload.sent_at
    assert NOT_RUN_ANSWER.match(upload.connection.answers), upload.connection.answers
    assert took < AT_ONCE_SECONDS, took
    assert not context.runs.by_id[upload.name]
    upload.connection.leave()


def wait_for_answer(connection: Connection) -> bool:
    end = time.monotonic() + PATIENCE_SECONDS
    while not connection.answers and time.monotonic() < end:
        time.sleep(0.02)
    return bool(connection.answers)


@then("the instance's node ended by itself with status 0")
def instances_node_ended(context):
    assert context.second.process.wait(PATIENCE_SECONDS) == 0
