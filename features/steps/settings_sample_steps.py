"""Steps of the settings features: the samples of the roles and of the deployments."""

import attrs
from behave import then
from settings_samples import (
    class_of,
    flat,
    keys_with_problems,
    problems_of,
    sample_path,
    sample_table,
    with_value,
)

from limelever.cli.resource_files import read_resources
from limelever.cli.roles import check_settings
from limelever.common.settings import SettingsProblems
from limelever.common.settings.reader import check_table
from limelever.protocol.config_pb2 import CALL_KIND_AT_MOST_ONCE
from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.settings_schema import keys_of

UNLIKE_STRING = 7
UNLIKE_OTHERS = "text"


@then("the sample of {role} is sound")
def step_settings_sample_sound(context, role):
    found = check_settings(sample_path(role))
    assert not isinstance(found, SettingsProblems), found


@then("the sample of {role} is sound with its commented keys switched on")
def step_settings_sample_commented_sound(context, role):
    found = check_table(sample_table(role, True), class_of(role), "file")
    assert not isinstance(found, SettingsProblems), found


@then("the sample of {role} shows every key that the role knows, and no other")
def step_settings_sample_complete(context, role):
    shown = flat(sample_table(role, True))
    empty_lists = tuple(f"{key}[]." for key, value in shown.items() if value == [])
    known = {key.path for key in keys_of(class_of(role))}
    known = {path for path in known if not (empty_lists and path.startswith(empty_lists))}
    assert set(shown) == known, set(shown) ^ known


@then("the commented keys of the sample of {role} show the defaults")
def step_settings_sample_defaults(context, role):
    commented = set(flat(sample_table(role, True))) - set(flat(sample_table(role)))
    shown = flat(sample_table(role, True))
    for key in keys_of(class_of(role)):
        has_default = key.default is not attrs.NOTHING and key.default not in (None, "", ())
        if key.path in commented and has_default:
            assert shown[key.path] == key.default, (key.path, shown[key.path], key.default)


@then("each key of {role} refuses a value of another type by its name")
def step_settings_types(context, role):
    sample = sample_table(role, True)
    for path, value in flat(sample).items():
        other = UNLIKE_STRING if isinstance(value, str) else UNLIKE_OTHERS
        found = keys_with_problems(with_value(sample, path, other), role)
        assert path in found, (path, other, found)


@then("each key of {role} with a range takes its bounds and refuses what lies beyond them")
def step_settings_ranges(context, role):
    sample = sample_table(role, True)
    shown = flat(sample)
    for key in keys_of(class_of(role)):
        if key.range is None or key.path not in shown:
            continue
        for bound, beyond in ((key.range.low, -1), (key.range.high, 1)):
            outside = with_value(sample, key.path, bound + beyond)
            assert key.path in keys_with_problems(outside, role), (key.path, bound + beyond)
            inside = check_table(with_value(sample, key.path, bound), class_of(role), "file")
            reasons = [p.reason for p in problems_of(inside) if p.key == key.path]
            assert not [reason for reason in reasons if "between" in reason], (key.path, reasons)


@then("the deployment {name} has the zones {zones}")
def step_settings_deployment_zones(context, name, zones):
    assert list(load_deployment(name).zones) == zones.split(", ")


@then("the deployment {name} has the services {services}")
def step_settings_deployment_services(context, name, services):
    deployed = load_deployment(name).services
    assert [f"{item.instances} {item.name}" for item in deployed] == services.split(", ")
    assert {(item.slots, item.connections) for item in deployed} == {(6, 130)}


@then("the deployment {name} is {between:g} ms between zones and {clients:g} ms to clients")
def step_settings_deployment_delays(context, name, between, clients):
    delays = load_deployment(name).delays
    assert (delays.between_zones_ms, delays.to_clients_ms) == (between, clients)
    assert delays.connect_ms == 1.0


@then("the resources of {name} serve every call of the deployment")
def step_settings_deployment_calls(context, name):
    deployment = load_deployment(name)
    batch = read_resources(deployment.resources_file, {})
    assert not isinstance(batch, SettingsProblems), batch
    routes = [resource.route for resource in batch.put if resource.HasField("route")]
    shares = {(r.share.service, r.share.group) for r in batch.put if r.HasField("share")}
    assert {service.name for service in deployment.services} == {route.service for route in routes}
    for call in deployment.calls:
        serving = [route for route in routes if call.path.startswith(route.path_prefix)]
        assert len(serving) == 1 and serving[0].service == call.service, call
        assert call.method in serving[0].methods, call
        assert (serving[0].call_kind == CALL_KIND_AT_MOST_ONCE) == call.at_most_once, call
        assert (call.service, call.group) in shares, call
