"""Steps for the instance identity in a health probe's response."""

from __future__ import annotations

from behave import then

from limelever.agent.health_response import InstanceIdentity, parse_instance_identity
from limelever.common.http_headers import HeaderNames
from limelever.common.http_messages import HttpAnswer

NAMES = HeaderNames(instance=b"limelever-instance-id", load=b"limelever-server-load")
ID = (b"Limelever-Instance-Id", b"i-1")
LOAD = (b"Limelever-Server-Load", b"3,0,8")
RESPONSES = {
    "with id and load": (200, (ID, LOAD)),
    "with an id alone": (200, (ID,)),
    "with a load that is no list": (200, (ID, (b"Limelever-Server-Load", b"much"))),
    "with a load of too many digits": (
        200,
        (ID, (b"Limelever-Server-Load", b"0,0," + b"9" * 5000)),
    ),
    "with id and load, but unhealthy": (503, (ID, LOAD)),
    "without an id": (200, (LOAD,)),
}


@then("a health response {what} names {instance} with {slots:d} slots")
def names_instance(context, what, instance, slots):
    status, headers = RESPONSES[what]
    identity = parse_instance_identity(HttpAnswer(status, headers, b""), NAMES)
    assert identity == InstanceIdentity(instance, slots), identity


@then("a health response {what} names no instance")
def names_no_instance(context, what):
    status, headers = RESPONSES[what]
    assert parse_instance_identity(HttpAnswer(status, headers, b""), NAMES) is None
