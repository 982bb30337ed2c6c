"""An operator's session at the command line: its files, its environment, and what it printed."""

import tempfile
from pathlib import Path

from operator_server import TOKEN
from typer.testing import CliRunner

from limelever.cli.application import app

CLI_SECRET_VALUE = "not-for-any-screen"
UNUSED_ADDRESS = "127.0.0.1:9"
RESOURCES = """
[[service]]
name = "orders"
[[route]]
name = "orders"
service = "orders"
path_prefix = "/orders"
call_kind = "at_most_once"
methods = ["POST"]
secrets = ["key"]
[[share]]
service = "orders"
group = "stores"
weight = 3
[[secret]]
name = "key"
header = "X-Key"
value_file = "value"
"""


def folder_of(context):
    if not hasattr(context, "folder"):
        temporary = tempfile.TemporaryDirectory()
        context.add_cleanup(temporary.cleanup)
        context.folder = Path(temporary.name)
        (context.folder / "value").write_text(f"{CLI_SECRET_VALUE}\n")
        (context.folder / "token").write_text(f"{TOKEN}\n")
        (context.folder / "mesh.toml").write_text(RESOURCES)
        context.printed = ""
    return context.folder


def reach(context, server_address):
    folder = folder_of(context)
    context.environment = {
        "LIMELEVER_ENDPOINTS": str(server_address),
        "LIMELEVER_TOKEN_FILE": str(folder / "token"),
    }


def run_command(context, arguments):
    folder_of(context)
    environment = {"LIMELEVER_ENDPOINTS": "", "LIMELEVER_TOKEN_FILE": ""}
    environment.update(getattr(context, "environment", {}))
    context.result = CliRunner().invoke(app, arguments, env=environment)
    context.printed += context.result.output
