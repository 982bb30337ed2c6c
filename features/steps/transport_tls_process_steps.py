"""Steps for whole processes with TLS: an operator, a source and a relay."""

from __future__ import annotations

import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when
from certificates import GOOD, Authorities
from http_server import HttpClient
from source_process import PATIENCE, RELAY_CREDENTIAL, SourceProcess, tls_lines
from transport_process_steps import LIMELEVER, free_port
from transport_server import wait_for

from limelever.common.sansio import Address


@given("a source of one replica with TLS in a process of its own")
def given_tls_source(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.authorities = Authorities(context.folder)
    context.source_process = SourceProcess(context.folder, context.authorities.settings(GOOD))
    context.source_process.start()
    context.add_cleanup(context.source_process.end)


@when("an operator gives that TLS source a service")
def when_tls_service(context):
    context.version = context.source_process.apply("orders").version


@when("a relay with TLS dials that source")
def when_tls_relay(context):
    context.admin_port = free_port()
    settings = context.folder / "relay.toml"
    settings.write_text(
        'role = "relay"\n'
        'name = "relay-1"\n'
        'zone = "zone-a"\n'
        f'listen = "127.0.0.1:{free_port()}"\n'
        f'admin = "127.0.0.1:{context.admin_port}"\n'
        f'sources = ["127.0.0.1:{context.source_process.link_port}"]\n'
        f'credentials = {{ own = "{RELAY_CREDENTIAL}" }}\n'
        + tls_lines(context.authorities.settings(GOOD))
    )
    log = (context.folder / "relay.log").open("w")
    context.add_cleanup(log.close)
    command = [str(LIMELEVER), "relay", "--settings", str(settings)]
    relay = subprocess.Popen(command, stdout=log, stderr=log)
    context.add_cleanup(relay.wait)
    context.add_cleanup(relay.kill)


def metrics_of(port) -> str:
    """Return what /metrics says, nothing while the process does not listen."""
    try:
        client = HttpClient(Address("127.0.0.1", port))
    except ConnectionError:
        return ""
    client.ask("GET", "/metrics")
    text = client.body()
    client.close()
    return text


@then("that relay is ready with the service's version")
def then_relay_ready(context):
    wanted = (
        f"limelever_configuration_version {float(context.version)}\n",
        "limelever_ready 1.0\n",
    )

    def serves():
        text = metrics_of(context.admin_port)
        return all(line in text for line in wanted)

    assert wait_for(serves, PATIENCE), (context.folder / "relay.log").read_text()
