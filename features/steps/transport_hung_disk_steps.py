"""Steps for a disk that hangs within a write."""

from __future__ import annotations

import threading

import trio
from behave import given, then, when

from limelever.common.sansio import AppendLog
from limelever.transport.disk_writer import DiskWriter

PATIENCE = 10.0


class HungDisk:
    """Takes a write and ends it only once the test is over."""

    def __init__(self):
        self.entered = threading.Event()
        self.released = threading.Event()

    @property
    def carried_out(self):
        return 0

    def perform(self, outputs):
        self.entered.set()
        self.released.wait()


@given("a disk that takes a write and never ends it")
def given_hung_disk(context):
    context.disk = HungDisk()
    context.add_cleanup(context.disk.released.set)


@when("a writer of that disk is cancelled within the write")
def when_cancelled(context):
    context.completed = []
    release = threading.Timer(PATIENCE, context.disk.released.set)
    release.start()
    context.add_cleanup(release.cancel)

    async def write_and_cancel():
        writer = DiskWriter(context.disk, context.completed.append, context.completed.append)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            writer.queue(AppendLog(token=1, records=()))
            await trio.to_thread.run_sync(context.disk.entered.wait)
            nursery.cancel_scope.cancel()

    trio.run(write_and_cancel)


@then("the writer has ended, and reported nothing as written")
def then_ended(context):
    assert not context.disk.released.is_set(), "the writer waited for its disk"
    assert context.completed == []
