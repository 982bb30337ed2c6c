"""Steps of the settings features: the check of settings files."""

import re
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from settings_samples import class_of, flat, problems_of, sample_path, sample_table, with_value

from limelever.cli.roles import PROCESS_ROLES, check_settings, settings_class
from limelever.common.settings import ProcessSettings, SettingsProblems
from limelever.common.settings.reader import check_table, load_settings, read_table

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
