import shlex
import subprocess
import sys
from pathlib import Path
from unittest import mock

import grpc
from behave import given, then, when
from cli_session import CLI_SECRET_VALUE, UNUSED_ADDRESS, folder_of, reach, run_command
from operator_server import OperatorServer

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    MemberStatus,
    RolloutRequest,
    RolloutResponse,
    StatusRequest,
    StatusResponse,
    ZoneRollout,
)
from limelever.protocol.tenant_keys import digest_of

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


TENANTS = """
[[service]]
name = "stock"
[[route]]
name = "stock"
service = "stock"
path_prefix = "/stock"
call_kind = "repeatable"
public = true
[[tenant]]
name = "{name}"
keys = {keys}
priority = 1
rate_per_s = 300
burst = 2.5
"""


def start_source(context, script=None):
    server = OperatorServer(script)
    context.add_cleanup(server.stop)
    return server


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
    start_scripted(context, ErrorKind.WRITE_UNKNOWN, ErrorKind.PERMISSION_DENIED)


@given("a source that loses the first answer and then refuses as a conflict")
def given_lost_conflict(context):
    start_scripted(context, ErrorKind.WRITE_UNKNOWN, ErrorKind.CONFLICT)


@given("a source that no longer keeps the answer to a write")
def given_expired(context):
    start_scripted(context, ErrorKind.REQUEST_EXPIRED)


def start_scripted(context, *kinds):
    """Start a source that answers writes by these failures, the last one again and again."""
    answers = [Failure(kind, "scripted") for kind in kinds]
    context.writes = []

    def script(request):
        if not isinstance(request, ApplyRequest):
            return None
        context.writes.append(request)
        return answers[min(len(context.writes), len(answers)) - 1]

    context.source = start_source(context, script)
    reach(context, context.source.address)


@given("a source whose {count:d} connected readers all hold the version")
def given_in_force(context, count):
    zone = ZoneRollout(zone="lodz-a", in_force=count, lowest_version=6)
    answer = RolloutResponse(version=6, complete=True, zones=[zone])
    context.source = start_source(
        context, lambda request: answer if isinstance(request, RolloutRequest) else None
    )
    reach(context, context.source.address)


@given("a source whose follower is asked for its status")
def given_follower_status(context):
    members = [MemberStatus(name=f"source-{number}", voter=True) for number in (1, 2, 3)]
    answer = StatusResponse(name="source-2", role="follower", members=members)
    context.source = start_source(
        context, lambda request: answer if isinstance(request, StatusRequest) else None
    )
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


@given("a source whose leader refuses a feature and whose other replica finds the write malformed")
def given_mixed_builds(context):
    def refusing(kind):
        failure = Failure(kind, "refused", retry_after=0.1)
        return lambda request: failure if isinstance(request, ApplyRequest) else None

    leader = start_source(context, refusing(ErrorKind.FEATURE_UNAVAILABLE))
    other = start_source(context, refusing(ErrorKind.INVALID_REQUEST))
    reach(context, f"{leader.address},{other.address}")


@given("no source at all")
def given_no_source(context):
    reach(context, UNUSED_ADDRESS)


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


@when('the operator asks the source at "{endpoint}" for its status')
def when_asks_at(context, endpoint):
    """Stand in for the network of a machine that may have no IPv6."""
    open_channel = grpc.insecure_channel
    served = str(context.source.address)
    with (
        mock.patch("limelever.cli.client.socket.create_connection") as context.connect,
        mock.patch("limelever.cli.client.grpc.insecure_channel") as context.open,
    ):
        context.open.side_effect = lambda target, options: open_channel(served, options)
        run_command(context, ["status", "--json", "--endpoint", endpoint])


@then('the connection went to the host "{host}" and the calls to "{target}"')
def then_reached(context, host, target):
    assert context.connect.call_args.args[0] == (host, 9000), context.connect.call_args
    assert context.open.call_args.args[0] == target, context.open.call_args


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


@when('the operator checks the sample "{name}"')
def when_checks_sample(context, name):
    path = Path(__file__).resolve().parents[2] / "etc" / name
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


@when('the operator applies a file with the tenant "{name}" and the keys "{keys}"')
def when_applies_tenant(context, name, keys):
    path = folder_of(context) / "tenants.toml"
    path.write_text(TENANTS.format(name=name, keys=keys.split()))
    run_command(context, ["apply", str(path)])


@when(
    "the operator applies a file with a service that warms up for {length:d} ms at {rate:g} calls "
    "a second"
)
def when_applies_warm_up(context, length, rate):
    path = folder_of(context) / "service.toml"
    service = f'[[service]]\nname = "stock"\nwarm_up_ms = {length}\nwarm_up_calls_per_s = {rate}\n'
    path.write_text(service)
    run_command(context, ["apply", str(path)])


@then('neither a key nor a digest of "{keys}" was printed')
def then_no_key_printed(context, keys):
    for key in keys.split():
        digest = digest_of(key.encode())
        assert key not in context.printed
        assert digest.hex() not in context.printed and str(digest) not in context.printed
