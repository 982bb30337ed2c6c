import shlex
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from operator_server import TOKEN, OperatorServer
from typer.testing import CliRunner

from limelever.cli.application import app
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.operators_pb2 import ApplyRequest

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
WRONG_RESOURCES = """
[[service]]
name = "orders"
colour = "green"
[[route]]
name = "orders"
service = "orders"
path_prefix = "/orders"
call_kind = "sometimes"
[[share]]
service = "orders"
group = "stores"
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


def start_source(context, script=None):
    server = OperatorServer(script)
    context.add_cleanup(server.stop)
    return server


def reach(context, server_address):
    folder = folder_of(context)
    context.environment = {
        "LIMELEVER_ENDPOINTS": str(server_address),
        "LIMELEVER_TOKEN_FILE": str(folder / "token"),
    }


@given("a source that the command line reaches")
def given_reachable(context):
    context.source = start_source(context)
    reach(context, context.source.address)


@given("a source that runs the first write and never answers it")
def given_first_lost(context):
    writes = []

    def script(request):
        if not isinstance(request, ApplyRequest) or writes:
            return None
        writes.append(request)
        return "run-then-hang"

    context.source = start_source(context, script)
    reach(context, context.source.address)


@given("a source that never answers a write")
def given_never_answers(context):
    context.source = start_source(
        context, lambda request: "hang" if isinstance(request, ApplyRequest) else None
    )
    reach(context, context.source.address)


@given("a source that loses the first answer and then withdraws the credential")
def given_withdrawn(context):
    answers = [ErrorKind.WRITE_UNKNOWN, ErrorKind.PERMISSION_DENIED]
    start_scripted(context, [Failure(kind, "scripted") for kind in answers])


@given("a source that no longer keeps the answer to a write")
def given_expired(context):
    start_scripted(context, [Failure(ErrorKind.REQUEST_EXPIRED, "scripted")])


def start_scripted(context, answers):
    """Start a source that gives these answers to writes, the last one again and again."""
    context.writes = []

    def script(request):
        if not isinstance(request, ApplyRequest):
            return None
        context.writes.append(request)
        return answers[min(len(context.writes), len(answers)) - 1]

    context.source = start_source(context, script)
    reach(context, context.source.address)


@given("a source whose follower names the leader")
def given_follower(context):
    context.source = start_source(context)
    leader = str(context.source.address)
    failure = Failure(ErrorKind.NOT_LEADER, "not the leader", leader_address=leader)
    follower = start_source(
        context, lambda request: failure if isinstance(request, ApplyRequest) else None
    )
    reach(context, follower.address)


@given("no source at all")
def given_no_source(context):
    reach(context, UNUSED_ADDRESS)


def run_command(context, arguments):
    folder_of(context)
    environment = {"LIMELEVER_ENDPOINTS": "", "LIMELEVER_TOKEN_FILE": ""}
    environment.update(getattr(context, "environment", {}))
    context.result = CliRunner().invoke(app, arguments, env=environment)
    context.printed += context.result.output


@when('the operator runs "{arguments}"')
def when_runs(context, arguments):
    run_command(context, shlex.split(arguments))


@when("the operator applies a file of resources")
def when_applies(context):
    run_command(context, ["apply", str(folder_of(context) / "mesh.toml")])


@when('the operator applies a file of resources with "{arguments}"')
def when_applies_with(context, arguments):
    path = str(folder_of(context) / "mesh.toml")
    run_command(context, ["apply", path, *shlex.split(arguments)])


@when("the operator applies a file with wrong resources")
def when_applies_wrong(context):
    reach(context, UNUSED_ADDRESS)
    path = folder_of(context) / "wrong.toml"
    path.write_text(WRONG_RESOURCES)
    run_command(context, ["apply", str(path)])


@when('the operator checks settings of the role "{role}"')
def when_checks_settings(context, role):
    path = folder_of(context) / "settings.toml"
    path.write_text(f'role = "{role}"\n')
    run_command(context, ["settings", "check", str(path)])


@then('the command ends with {status:d} and prints "{text}"')
def then_ends_with(context, status, text):
    assert context.result.exit_code == status, (context.result, context.result.output)
    assert text in context.result.output, context.result.output


@then('the command also prints "{text}"')
def then_also_prints(context, text):
    assert text in context.result.output, context.result.output


@then('the command does not print "{text}"')
def then_does_not_print(context, text):
    assert text not in context.result.output, context.result.output


@then("the source was asked for {count:d} writes")
def then_asked_writes(context, count):
    assert len(context.writes) == count, len(context.writes)


@then("the secret's value was never printed")
def then_never_printed(context):
    assert CLI_SECRET_VALUE not in context.printed


@then("the source applied {count:d} batches")
def then_applied(context, count):
    assert context.source.applied == count, context.source.applied


@then("starting a role imports neither grpc, typer nor rich")
def then_light_imports(context):
    program = (
        "import sys; sys.argv = ['limelever', 'agent', '--settings', 'absent.toml']\n"
        "from limelever.cli.main import main\n"
        "try: main()\n"
        "except SystemExit as end: assert end.code == 1, end.code\n"
        "assert not {'grpc', 'typer', 'rich'} & set(sys.modules)"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert "absent.toml" in done.stderr
