"""The accepting side of a link's hello: who may open a link, and for what."""

from __future__ import annotations

import hmac
from collections.abc import Collection

import trio
from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Peer, Purpose
from limelever.common.settings import AcceptedCredential, LinkSettings, seconds
from limelever.protocol.feature_level import CURRENT_LEVEL
from limelever.protocol.link_pb2 import Hello, HelloAnswer
from limelever.transport.links import PROTOCOL_VERSION, Link, LinkIdentity


async def accept(
    stream: trio.abc.Stream,
    identity: LinkIdentity,
    settings: LinkSettings,
    accepted: tuple[AcceptedCredential, ...],
    purposes: Collection[Purpose],
) -> Link | Failure:
    """Read and answer a hello; return the link with its peer, or why it was refused.

    ``purposes`` are those served when the hello has come: a live view, as one may end while it is
    waited for. Nothing else runs between that and the return.
    """
    link = Link(stream, settings)
    link.count_as("hello")
    verdict: Peer | Failure = Failure(ErrorKind.PROTOCOL_VIOLATION, "no hello in time")
    with trio.move_on_after(seconds(settings.hello_timeout_ms)):
        verdict = judge_hello(await link.receive(), accepted, purposes)
    if isinstance(verdict, Failure):
        link.send(HelloAnswer(accepted=False, kind=verdict.kind.value, reason=verdict.reason))
        await link.flush_and_close()
        return verdict
    link.peer = verdict
    link.lift_limit()
    link.count_as(verdict.purpose.value)
    link.send(
        HelloAnswer(
            accepted=True,
            name=identity.name,
            zone=identity.zone,
            incarnation=identity.incarnation,
            role=identity.role.value,
            identity=identity.identity,
            feature_level=CURRENT_LEVEL,
        )
    )
    return link


def judge_hello(
    message: Message | Failure | None,
    accepted: tuple[AcceptedCredential, ...],
    purposes: Collection[Purpose],
) -> Peer | Failure:
    """Check protocol, credential and purpose of a hello, in constant time per credential."""
    if isinstance(message, Failure):
        return message
    if not isinstance(message, Hello):
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "the first message must be a hello")
    if message.protocol != PROTOCOL_VERSION:
        return Failure(
            ErrorKind.PROTOCOL_VIOLATION, f"protocol {message.protocol} is not spoken here"
        )
    known = [
        entry
        for entry in accepted
        if entry.role.value == message.role
        and hmac.compare_digest(entry.credential.encode(), message.credential.encode())
    ]
    if not known:
        return Failure(ErrorKind.UNAUTHENTICATED, f"unknown credential for role {message.role!r}")
    if message.purpose not in {purpose.value for purpose in purposes}:
        return Failure(
            ErrorKind.PERMISSION_DENIED, f"purpose {message.purpose!r} is not served here"
        )
    return Peer(
        known[0].role,
        message.name,
        message.zone,
        Purpose(message.purpose),
        message.identity,
        feature_level=message.feature_level,
    )
