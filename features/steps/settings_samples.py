"""The samples of settings files as tables, and changed copies of them."""

import re
import tomllib
from pathlib import Path

from limelever.cli.roles import settings_class
from limelever.common.sansio import Role
from limelever.common.settings import SettingsProblems
from limelever.common.settings.reader import check_table

ETC = Path(__file__).resolve().parents[2] / "etc"
COMMENTED_KEY = re.compile(r"^# ?(?=[a-z_]+ = )")


def sample_path(role):
    return ETC / f"{role}.toml-sample"


def sample_table(role, with_commented=False):
    """Return a sample as a table; its commented keys may be switched on."""
    lines = sample_path(role).read_text().splitlines()
    if with_commented:
        lines = [COMMENTED_KEY.sub("", line) for line in lines]
    return tomllib.loads("\n".join(lines))


def flat(table, prefix=""):
    """Return path -> value: ``section.key``, and ``list[].key`` for the first of listed tables.

    An empty table is the value of a key whose own keys are free.
    """
    found = {}
    for key, value in table.items():
        if isinstance(value, dict) and value:
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
