"""Steps for a process that cannot go on: what it logs and prints, and its exit status."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from behave import given, then, when

from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import FolderDisk

PATIENCE = 30
LIMELEVER = Path(sys.executable).parent / "limelever"
FAULTY_ROLE = Path(__file__).parent / "faulty_role.py"


@dataclass(frozen=True, slots=True)
class Ended:
    """A process that ended, with the lines it wrote on standard error."""

    status: int
    lines: list[str]

    def events(self, code: int) -> list[dict]:
        records = [json.loads(line) for line in self.lines if line.startswith("{")]
        return [record for record in records if record["code"] == code]


def run(*command) -> Ended:
    done = subprocess.run(
        [str(word) for word in command], capture_output=True, text=True, timeout=PATIENCE
    )
    return Ended(done.returncode, [*done.stdout.splitlines(), *done.stderr.splitlines()])


def folder_of(context) -> Path:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


def taken_port(context) -> int:
    taken = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(taken.close)
    return taken.getsockname()[1]


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


def write_relay_settings(context, *, listen=0, admin=0, log=""):
    context.folder = folder_of(context)
    context.settings = context.folder / "relay.toml"
    context.settings.write_text(
        'role = "relay"\n'
        'name = "relay-1"\n'
        'zone = "zone-a"\n'
        f'listen = "127.0.0.1:{listen}"\n'
        f'admin = "127.0.0.1:{admin}"\n'
        'sources = ["127.0.0.1:1"]\n'
        'credentials = { own = "relay-credential-of-the-test" }\n' + log
    )


@given("a relay's settings whose admin listener is in use")
def given_admin_in_use(context):
    context.port = taken_port(context)
    write_relay_settings(context, admin=context.port)


@given("a relay's settings whose link listener is in use")
def given_link_listener_in_use(context):
    context.port = taken_port(context)
    write_relay_settings(context, listen=context.port)


@given("a relay's settings whose log file cannot be opened")
def given_log_unwritable(context):
    write_relay_settings(context, log='log = { file = "/dev/null/no-folder.log" }\n')


@given("a relay's settings whose data folder another process holds")
def given_folder_held(context):
    write_relay_settings(context)
    held = open_folder(context.folder / "data")
    assert isinstance(held, FolderDisk), held
    context.add_cleanup(held.close)
    with context.settings.open("a") as settings:
        settings.write(f'data_folder = "{context.folder}/data"\n')


@when("that relay is run")
def when_relay_run(context):
    context.ended = run(LIMELEVER, "relay", "--settings", context.settings)


@when("that relay's settings are given to an agent")
def when_given_to_agent(context):
    context.ended = run(LIMELEVER, "agent", "--settings", context.settings)


@when("a role with a second SIGTERM at {place} is run")
def when_asked_again(context, place):
    context.ended = run(sys.executable, FAULTY_ROLE, f"second SIGTERM at {place}")


@when("a role with a fault in its {place} is run")
def when_faulty_role(context, place):
    context.ended = run(sys.executable, FAULTY_ROLE, place)


@then("that process exits with {status:d}")
def then_exits(context, status):
    assert context.ended.status == status, context.ended


@then("that process logs 1004 naming the address in use")
def then_names_address(context):
    (event,) = context.ended.events(1004)
    reason = event["fields"]["reason"]
    assert f"127.0.0.1:{context.port}" in reason and "in use" in reason, reason


@then("that process logs 1004 naming the data folder in use")
def then_names_folder(context):
    (event,) = context.ended.events(1004)
    reason = event["fields"]["reason"]
    assert reason == f"data-folder-in-use: {context.folder}/data is held by another process", reason


@then("that process logs 1040 with the line at fault")
def then_line_at_fault(context):
    (event,) = context.ended.events(1040)
    assert event["fields"]["error"] == "KeyError: 'the fault of this test'", event
    assert any("faulty_role.py" in line for line in event["fields"]["traceback"]), event


@then("that process logs 1004 as internal")
def then_internal(context):
    (event,) = context.ended.events(1004)
    assert event["fields"]["reason"] == "internal: KeyError: 'the fault of this test'", event


@then('that process prints that the settings are of role "{found}", this process is "{wanted}"')
def then_wrong_role(context, found, wanted):
    printed = "\n".join(context.ended.lines)
    assert f'"{found}"' in printed and f'"{wanted}"' in printed, printed


@then("that process prints that log.file cannot be written")
def then_log_file(context):
    (line,) = context.ended.lines
    assert line.startswith("log.file: /dev/null/no-folder.log: "), line


@then("that process prints no traceback")
def then_no_traceback(context):
    raw = [line for line in context.ended.lines if line.startswith(("Traceback", "  File"))]
    assert not raw, raw
