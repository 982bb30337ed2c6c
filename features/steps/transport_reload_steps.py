"""Steps for settings that are read again while a process runs."""

from __future__ import annotations

import json
import os
import random
import re
import signal
import subprocess
import time
from pathlib import Path

from behave import given, then, when
from transport_process_steps import LIMELEVER, PATIENCE, folder_of, write_relay_settings

from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.registration import RegistrationSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    Address,
    ConnectionFailed,
    DeadlineReached,
    OpenConnection,
    Recovered,
    Started,
)
from limelever.keeper.settings import KeeperClientSettings
from limelever.proxy.core import ProxyCore, ProxyCoreSettings
from limelever.subscriber.notices import PublishersListed
from limelever.subscriber.settings import SubscriberSettings

FIRST = Address("127.0.0.1", 1)
SECOND = Address("127.0.0.1", 2)
STEPS = 200


class RunningRelay:
    """A relay process and the events it has written."""

    def __init__(self, context) -> None:
        self.folder = folder_of(context)
        self.settings = context.settings
        self.log = (self.folder / "log").open("w+")
        command = [str(LIMELEVER), "relay", "--settings", str(self.settings)]
        self.process = subprocess.Popen(command, stderr=self.log, stdout=self.log)
        context.add_cleanup(self.end)

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self.log.close()

    def events(self, code: int) -> list[dict]:
        lines = (self.folder / "log").read_text().splitlines()
        records = [json.loads(line) for line in lines if line.startswith("{")]
        return [record for record in records if record["code"] == code]

    def write_settings(self, text: str) -> None:
        """Replace the settings file, whole at any moment."""
        new = self.settings.with_suffix(".new")
        new.write_text(text)
        new.replace(self.settings)

    def wait_for_signal_handler(self, number: signal.Signals) -> None:
        """Wait until the process takes a signal by a handler of its own."""
        status = Path(f"/proc/{self.process.pid}/status")
        mask = 1 << (number - 1)
        deadline = time.monotonic() + PATIENCE
        while not int(re.search(r"SigCgt:\s*(\w+)", status.read_text())[1], 16) & mask:
            assert time.monotonic() < deadline, "the signal is not handled"
            time.sleep(0.02)

    def wait_for(self, code: int, count: int = 1) -> dict:
        deadline = time.monotonic() + PATIENCE
        while len(self.events(code)) < count:
            assert self.process.poll() is None, f"the relay ended with {self.process.returncode}"
            assert time.monotonic() < deadline, f"no event {code}"
            time.sleep(0.05)
        return self.events(code)[count - 1]["fields"]


@given("a running relay")
def given_running_relay(context):
    write_relay_settings(context)
    context.relay = RunningRelay(context)
    context.relay.wait_for(1000)
    context.relay.wait_for_signal_handler(signal.SIGHUP)
    context.reloads = 0


@given("a relay that is about to read its settings for the first time")
def given_reading_relay(context):
    """The settings file is a pipe: opening it for writing waits until the process reads it."""
    write_relay_settings(context)
    context.first_settings = context.settings.read_text()
    context.settings.unlink()
    os.mkfifo(context.settings)
    context.relay = RunningRelay(context)
    context.pipe = context.settings.open("w")
    context.add_cleanup(context.pipe.close)
    context.reloads = 0


@when("it has read its settings and they change before it runs")
def when_changed_early(context):
    context.relay.write_settings(context.first_settings.replace("zone-a", "zone-the-other"))
    context.pipe.write(context.first_settings)
    context.pipe.close()
    context.reloads = 1


@when("that relay gets SIGHUP")
def when_hung_up(context):
    context.relay.process.send_signal(signal.SIGHUP)
    context.reloads += 1


@when("its settings name another zone")
def when_another_zone(context):
    text = context.relay.settings.read_text().replace("zone-a", "zone-the-other")
    context.relay.write_settings(text)
    context.reloads += 1


@when("its settings lose their name")
def when_nameless(context):
    text = context.relay.settings.read_text().replace('name = "relay-1"\n', "")
    context.relay.write_settings(text)


@then("it logs 1006 with nothing changed")
def then_nothing_changed(context):
    fields = context.relay.wait_for(1006, context.reloads)
    assert fields == {"reason": "SIGHUP", "changed": [], "needs_restart": []}, fields


@then('it logs 1006 with "{name}" changed and waiting for a restart')
def then_changed(context, name):
    fields = context.relay.wait_for(1006, context.reloads)
    assert fields["changed"] == fields["needs_restart"] == [name], fields


@then('it logs 1007 naming "{key}"')
def then_refused(context, key):
    assert key in context.relay.wait_for(1007)["problem"]


@then("it still runs")
def then_runs(context):
    assert context.relay.process.poll() is None


def agent_core() -> AgentCore:
    registration = RegistrationSettings(
        relays=(FIRST,), service="orders", instance="one", zone="a", address=FIRST, slots=1
    )
    subscriber = SubscriberSettings(publishers=(FIRST,), services=("orders",))
    options = AgentOptions(registration, subscriber, cold_start_limit=0.0)
    return AgentCore(options, 1, random.Random(1))


def proxy_core() -> ProxyCore:
    subscriber = SubscriberSettings(publishers=(FIRST,), every_service=True)
    settings = ProxyCoreSettings(subscriber, KeeperClientSettings(keepers=()))
    return ProxyCore(settings, random.Random(1), Recovered())


@given("a {role} core whose only publisher does not answer")
def given_core(context, role):
    context.core = agent_core() if role == "agent" else proxy_core()
    context.now = 0.0
    context.dialled = set()
    feed(context, Started())
    go_on(context)
    assert context.dialled == {FIRST}, context.dialled


@when("its settings name another publisher besides")
def when_another_publisher(context):
    feed(context, PublishersListed((FIRST, SECOND)))
    go_on(context)


@then("it dials that one too")
def then_dials_both(context):
    assert context.dialled == {FIRST, SECOND}, context.dialled


def feed(context, event) -> None:
    """Give the core an event, and fail every dial that it asks for."""
    refused = Failure(ErrorKind.CONNECTION_FAILED, "refused")
    for output in context.core.handle(event, context.now):
        if isinstance(output, OpenConnection):
            context.dialled.add(output.address)
            feed(context, ConnectionFailed(output.connection, refused))


def go_on(context) -> None:
    for _ in range(STEPS):
        context.now = max(context.now, context.core.next_deadline())
        feed(context, DeadlineReached())
