"""The full command line, by typer: options, help and usage errors."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer
from msgspec import to_builtins

from limelever.cli import operator_commands
from limelever.cli.connection import Connection, with_connection
from limelever.cli.explain import Explanation, explain
from limelever.cli.members import members_app
from limelever.cli.operator_commands import ApplyOptions
from limelever.cli.options import (
    DryRunOption,
    ExpectedOption,
    JsonOption,
    RequestIdOption,
    SetOption,
    SettingsOption,
    checked_request_id,
    parse_keys,
)
from limelever.cli.resource_files import read_resources
from limelever.cli.roles import (
    EXIT_OK,
    EXIT_REFUSED,
    PROCESS_ROLES,
    RoleArguments,
    check_settings,
    print_problems,
    run_role,
)
from limelever.cli.zones import zone_app
from limelever.common.sansio import Role
from limelever.common.settings import SettingsProblems
from limelever.protocol.config_pb2 import Batch

_ARTICLES = {Role.AGENT: "an"}

app = typer.Typer(
    help="Configuration distribution and fair request routing for a service mesh.",
    epilog="Exit status: 0 done, 1 refused, 2 wrong usage.",
    add_completion=False,
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    rich_markup_mode=None,
)
settings_app = typer.Typer(
    help="Work with settings files.", no_args_is_help=True, rich_markup_mode=None
)
app.add_typer(settings_app, name="settings")
app.add_typer(members_app, name="members")
app.add_typer(zone_app, name="zone")


def _role_command(role: Role) -> Callable[..., None]:
    def run(settings: SettingsOption, overrides: SetOption = None) -> None:
        raise typer.Exit(run_role(RoleArguments(role, settings, tuple(overrides or ()))))

    run.__doc__ = (
        f"Run {_ARTICLES.get(role, 'a')} {role.value} until it is stopped.\n\n"
        f"Example: limelever {role.value} --settings {role.value}.toml --set zone=lodz-a"
    )
    return run


for _role in PROCESS_ROLES:
    app.command(_role.value)(_role_command(_role))


@settings_app.command("check")
def settings_check(file: Path, overrides: SetOption = None) -> None:
    """List everything that is wrong with a settings file of any role.

    Example: limelever settings check etc/relay.toml
    """
    found = check_settings(file, overrides or ())
    if isinstance(found, SettingsProblems):
        print_problems(found)
        raise typer.Exit(EXIT_REFUSED)
    role, _ = found
    print(f"{file}: sound, role {role.value}")


@app.command()
@with_connection
def apply(
    connection: Connection,
    file: Annotated[Path, typer.Argument()],
    dry_run: DryRunOption = False,
    expected_version: ExpectedOption = None,
    request_id: RequestIdOption = "",
    as_json: JsonOption = False,
) -> int:
    """Apply the resources of a file, all or none of them.

    Example: limelever apply mesh.toml --dry-run

    Example: limelever apply mesh.toml --expected-version 41
    """
    options = ApplyOptions(dry_run, expected_version, checked_request_id(request_id), as_json)
    with connection.open() as client:
        batch = read_resources(file, os.environ)
        if isinstance(batch, SettingsProblems):
            print_problems(batch)
            return EXIT_REFUSED
        return operator_commands.apply_batch(client, batch, options)


@app.command()
@with_connection
def delete(
    connection: Connection,
    keys: Annotated[list[str], typer.Argument(metavar="KEY...")],
    dry_run: DryRunOption = False,
    expected_version: ExpectedOption = None,
    request_id: RequestIdOption = "",
    as_json: JsonOption = False,
) -> int:
    """Delete resources, all or none of them.

    Example: limelever delete route/orders share/orders/stores
    """
    options = ApplyOptions(dry_run, expected_version, checked_request_id(request_id), as_json)
    batch = Batch(delete=[key.to_message() for key in parse_keys(keys)])
    with connection.open() as client:
        return operator_commands.apply_batch(client, batch, options)


@app.command()
@with_connection
def get(
    connection: Connection,
    keys: Annotated[list[str] | None, typer.Argument(metavar="KEY...")] = None,
    as_json: JsonOption = False,
) -> int:
    """Print resources, or all of them; a secret's value is never shown.

    Example: limelever get service/orders route/orders --json
    """
    chosen = parse_keys(keys or ())
    with connection.open() as client:
        return operator_commands.get(client, chosen, as_json)


@app.command()
@with_connection
def rollout(
    connection: Connection,
    version: Annotated[int, typer.Argument(min=0)],
    wait: Annotated[
        float | None,
        typer.Option(min=0, metavar="SECONDS", help="Wait; refused when it is not in force then."),
    ] = None,
    readers: Annotated[
        int,
        typer.Option(min=0, help="Proxies and agents that must hold it; 0 asks those connected."),
    ] = 0,
    as_json: JsonOption = False,
) -> int:
    """Show where a version is in force, by zone.

    Example: limelever rollout 42 --wait 10 --readers 16
    """
    with connection.open() as client:
        return operator_commands.rollout(client, version, wait, readers, as_json)


@app.command("explain")
def explain_request(
    request_id: Annotated[str, typer.Argument(metavar="REQUEST-ID")],
    files: Annotated[list[Path], typer.Argument(metavar="LOG-FILE...")],
    since: Annotated[str, typer.Option(help="Leave out lines before this time (ISO 8601).")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show what the logs of many processes say of one request, and the line that decided.

    Example: limelever explain 9c41d07be2a35f68 node-1.log node-2.log
    """
    explanation = explain(request_id, files, since)
    if as_json:
        typer.echo(json.dumps(to_builtins(explanation)))
    else:
        _print_explanation(explanation)
    raise typer.Exit(EXIT_OK if explanation.lines else EXIT_REFUSED)


def _print_explanation(explanation: Explanation) -> None:
    for line in explanation.beliefs:
        typer.echo(f"believed  {line}")
    for line in explanation.lines:
        typer.echo(f"{'decided ' if line is explanation.deciding else '        '}  {line}")
    if not explanation.lines:
        typer.echo("no line names this request", err=True)


@app.command()
@with_connection
def status(connection: Connection, as_json: JsonOption = False) -> int:
    """Show the replica that answers, its leader, members and relays.

    Example: limelever status --endpoint 10.0.0.1:7400
    """
    with connection.open() as client:
        return operator_commands.status(client, as_json)
