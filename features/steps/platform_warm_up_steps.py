"""Steps for the platform's fields of the warm-up of instances."""

from __future__ import annotations

import json

from behave import then
from behave.runner import Context
from platform_steps import NODE_FIELDS, configuration  # makes platform/ importable

from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import Batch, Resource, Service
from limelever.source.validation import validate_resources

# isort: split
from configuration_format import parse_configuration
from node_boot import node_settings


def taken_over(**fields: object) -> Service | Failure:
    services = [{"name": "alpha", "healthPath": "/health", **fields}]
    batch = parse_configuration(json.dumps(configuration(services=services)).encode())
    if isinstance(batch, Failure):
        return batch
    return next(each.service for each in batch.put if each.HasField("service"))


@then(
    "a service of {length:g} s and {rate:g} calls a second while it warms up becomes one of "
    "{milliseconds:d} ms and {wanted:g}"
)
def becomes(context: Context, length: float, rate: float, milliseconds: int, wanted: float) -> None:
    service = taken_over(warmupS=length, warmupPerS=rate)
    assert isinstance(service, Service)
    assert (service.warm_up_ms, service.warm_up_calls_per_s) == (milliseconds, wanted), service


@then("a service without a warm-up has no limit")
def has_none(context: Context) -> None:
    service = taken_over()
    assert isinstance(service, Service)
    assert (service.warm_up_ms, service.warm_up_calls_per_s) == (0, 0.0), service


@then("a service whose warm-up is negative, no number or too long is refused")
def is_refused(context: Context) -> None:
    for fields in ({"warmupS": -1}, {"warmupPerS": -1}, {"warmupPerS": "3"}, {"warmupS": 1e9}):
        assert isinstance(taken_over(**fields), Failure), fields
    for service in (Service(warm_up_calls_per_s=-1.0), Service(warm_up_calls_per_s=float("nan"))):
        service.name = "alpha"
        assert validate_resources(Batch(put=[Resource(service=service)])), service


@then(
    "bounds of {over} and {slack} let a node exceed the rate to {percent:d} percent and by "
    "{calls:d}"
)
def exceeds(context: Context, over: str, slack: str, percent: int, calls: int) -> None:
    stated = {"bounds.coldOver": over, "bounds.coldSlack": slack}
    fields = {name: value for name, value in stated.items() if value != "none"}
    settings = node_settings({**NODE_FIELDS, **fields})
    assert settings.headers.warm_up == "Limelever-Warmup-Ms"
    found = (settings.warm_up.over_percent, settings.warm_up.slack)
    assert found == (percent, calls), found
