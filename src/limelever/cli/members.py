"""Commands that show and change the replicas of the source, one change at a time."""

from __future__ import annotations

from typing import Annotated

import typer

from limelever.cli import operator_commands
from limelever.cli.connection import Connection, with_connection
from limelever.cli.options import JsonOption, RequestIdOption, checked_request_id
from limelever.protocol.operators_pb2 import ChangeMembersRequest

members_app = typer.Typer(
    help="Show and change the replicas of the source.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

IdentityArgument = Annotated[str, typer.Argument(metavar="IDENTITY")]


@members_app.command("list")
@with_connection
def list_members(connection: Connection, as_json: JsonOption = False) -> int:
    """Show the members as the leader sees them: who votes, and how far each holds the log.

    Example: limelever members list
    """
    with connection.open() as client:
        return operator_commands.list_members(client, as_json)


@members_app.command()
@with_connection
def add(
    connection: Connection,
    name: Annotated[str, typer.Argument(metavar="NAME")],
    request_id: RequestIdOption = "",
    as_json: JsonOption = False,
) -> int:
    """Admit a replica under a new name as a learner: it holds the log and doesn't vote yet.

    A replica that comes back under a voter's name is admitted without this.

    Example: limelever members add source-4
    """
    change = ChangeMembersRequest(request_id=checked_request_id(request_id), add_learner=name)
    return _change(connection, change, as_json)


@members_app.command()
@with_connection
def promote(
    connection: Connection,
    identity: IdentityArgument,
    request_id: RequestIdOption = "",
    as_json: JsonOption = False,
) -> int:
    """Let a learner vote, once it holds the log.

    Example: limelever members promote source-4-1f0c6a2be07d9385
    """
    change = ChangeMembersRequest(request_id=checked_request_id(request_id), promote=identity)
    return _change(connection, change, as_json)


@members_app.command()
@with_connection
def remove(
    connection: Connection,
    identity: IdentityArgument,
    request_id: RequestIdOption = "",
    as_json: JsonOption = False,
) -> int:
    """Take a member out for good: its disk never votes again.

    Example: limelever members remove source-3-first
    """
    change = ChangeMembersRequest(request_id=checked_request_id(request_id), remove=identity)
    return _change(connection, change, as_json)


def _change(connection: Connection, change: ChangeMembersRequest, as_json: bool) -> int:
    with connection.open() as client:
        return operator_commands.change_members(client, change, as_json)
