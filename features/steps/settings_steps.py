"""Steps of the settings features: the check of settings files, the samples, the deployments."""

import re
import tempfile
import tomllib
from pathlib import Path

import attrs
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.cli.resource_files import read_resources
from limelever.cli.roles import PROCESS_ROLES, check_settings, settings_class
from limelever.common.sansio import Role
from limelever.common.settings import (
    ProcessSettings,
    SettingsProblems,
    check_table,
    load_settings,
    read_table,
)
from limelever.protocol.config_pb2 import CALL_KIND_AT_MOST_ONCE
from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.settings_schema import keys_of

ETC = Path(__file__).resolve().parents[2] / "etc"
COMMENTED_KEY = re.compile(r"^# ?(?=[a-z_]+ = )")
MARKER = "marker-of-a-secret"
SECRET_CHANGES = {
    "source": (f'credentials="{MARKER}"', f'secrets.keys=["{MARKER}"]', f'operators="{MARKER}"'),
    "relay": (f'credentials.own=["{MARKER}"]', f'snapshot_keys=["{MARKER}"]'),
    "proxy": (f'credentials=["{MARKER}"]', f'edge="{MARKER}"'),
    "agent": (f'credentials.accepted="{MARKER}"', f'credentials.accepted=[["{MARKER}"]]'),
}
NO_FILE_CONTENT = {
    "damaged": b"role = ",
    "not text": b"role = '\xff\xfe'",
    "nested 20000 deep": b"role = " + b"[" * 20000 + b"]" * 20000,
}
UNLIKE = {"a string": 7, "other": "text"}

toml_values = st.recursive(
    st.one_of(
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(max_size=8),
        st.dates(),
        st.times(),
        st.datetimes(),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def sample_path(role):
    return ETC / f"{role}.toml-sample"


def sample_table(role, with_commented=False):
    """Return a sample as a table; its commented keys may be switched on."""
    lines = sample_path(role).read_text().splitlines()
    if with_commented:
        lines = [COMMENTED_KEY.sub("", line) for line in lines]
    return tomllib.loads("\n".join(lines))


def flat(table, prefix=""):
    """Return path -> value: ``section.key``, and ``list[].key`` for the first of listed tables."""
    found = {}
    for key, value in table.items():
        if isinstance(value, dict):
            found |= flat(value, f"{prefix}{key}.")
            continue
        found[f"{prefix}{key}"] = value
        if isinstance(value, list) and value and isinstance(value[0], dict):
            found |= flat(value[0], f"{prefix}{key}[].")
    return found


def with_value(table, path, value):
    """Return a copy of a table with one key replaced, of listed tables in the first one."""
    first, _, rest = path.partition(".")
    if not rest:
        return {**table, first: value}
    if first.endswith("[]"):
        name = first[:-2]
        head, *others = table.get(name, [{}])
        return {**table, name: [with_value(head, rest, value), *others]}
    return {**table, first: with_value(table.get(first, {}), rest, value)}


def class_of(role):
    return settings_class(Role(role))


def problems_of(found):
    return list(found.problems) if isinstance(found, SettingsProblems) else []


def keys_with_problems(table, role):
    found = check_table(table, class_of(role), "file")
    return {re.sub(r"\[\d+\]", "[]", problem.key) for problem in problems_of(found)}


def scratch_file(context, content):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "settings.toml"
    path.write_bytes(content)
    return path


@given("a settings file with the text")
def step_settings_text(context):
    context.settings_file = scratch_file(context, context.text.encode())
    context.settings_options = ()


@given("the sample of {role} with {changes}")
def step_settings_changed_sample(context, role, changes):
    context.settings_file = scratch_file(context, sample_path(role).read_bytes())
    context.settings_options = tuple(changes.split())


@given("the sample of {role}")
def step_settings_sample(context, role):
    context.settings_file = scratch_file(context, sample_path(role).read_bytes())
    context.settings_options = ()


@when("the settings file is checked")
def step_settings_checked(context):
    found = check_settings(context.settings_file, context.settings_options)
    context.settings_problems = problems_of(found)


@when("the settings file is checked for role {role}")
def step_settings_checked_for_role(context, role):
    found = load_settings(context.settings_file, class_of(role), context.settings_options)
    context.settings_problems = problems_of(found)


@when("the settings file is checked with the option {option}")
def step_settings_checked_with_option(context, option):
    context.settings_problems = problems_of(check_settings(context.settings_file, (option,)))


@then("the settings check lists exactly")
def step_settings_lists(context):
    expected = sorted((row["key"], row["reason"]) for row in context.table)
    found = sorted((problem.key, problem.reason) for problem in context.settings_problems)
    assert found == expected, found


@then("each problem of the settings names the file")
def step_settings_name_file(context):
    files = {problem.file for problem in context.settings_problems}
    assert files == {str(context.settings_file)}, files


@given("each key that holds a secret has a value of a wrong type or length")
def step_settings_secrets_wrong(context):
    context.settings_problems = []
    for role, changes in SECRET_CHANGES.items():
        for change in changes:
            found = problems_of(check_settings(sample_path(role), (change,)))
            assert found, (role, change)
            context.settings_problems += found


@then("no problem of the settings shows the value")
def step_settings_secrets_hidden(context):
    shown = [str(problem) for problem in context.settings_problems if MARKER in str(problem)]
    assert not shown, shown


@then('a settings file that is "{state}" is refused with "{reason}"')
def step_settings_no_file(context, state, reason):
    path = Path("absent.toml")
    if state in NO_FILE_CONTENT:
        path = scratch_file(context, NO_FILE_CONTENT[state])
    for found in (read_table(path), check_settings(path)):
        (problem,) = problems_of(found)
        assert problem.key == "(file)" and reason in problem.reason, problem


@then("no table of any shape crashes the settings check")
def step_settings_never_crash(context):
    @hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
    @for_all(
        st.sampled_from(PROCESS_ROLES),
        st.dictionaries(st.text(max_size=8), toml_values, max_size=4),
        st.booleans(),
    )
    def check(role, table, named):
        if named:
            table = {**table, "role": role.value}
        assert isinstance(check_table(table, settings_class(role), "file"), SettingsProblems)

    check()


@then("no change of one key of a sample crashes it, and what it finds names that key")
def step_settings_one_change(context):
    samples = {role.value: sample_table(role.value, True) for role in PROCESS_ROLES}
    places = [(role, path) for role, table in samples.items() for path in flat(table)]

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=400)
    @for_all(st.sampled_from(places), toml_values)
    def check(place, value):
        role, path = place
        found = check_table(with_value(samples[role], path, value), class_of(role), "file")
        if isinstance(found, ProcessSettings):
            return
        rules = [rule for rule in class_of(role).CLASHES if _touches(rule, path)]
        blamed = {rule.keys[0] for rule in rules}
        for problem in found.problems:
            key = re.sub(r"\[\d+\]", "[]", problem.key)
            assert key.startswith(path) or key in blamed, problem

    check()


def _touches(rule, path):
    parts = path.replace("[]", "").split(".")
    prefixes = {".".join(parts[: length + 1]) for length in range(len(parts))}
    return any(key in prefixes for key in rule.keys)


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
        other = UNLIKE["a string"] if isinstance(value, str) else UNLIKE["other"]
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
