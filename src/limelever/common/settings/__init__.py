"""Settings: TOML files into typed classes, with every problem listed at once.

A role's settings are a frozen attrs class derived from :class:`ProcessSettings`. Ranges are
attrs validators; rules between keys stand in the class's ``CLASHES``. Unknown keys are problems.
Durations carry their unit in the key's name (``_ms``), sizes end in ``_bytes``.
"""

from limelever.common.settings.checks import (
    Between,
    between,
    dialled,
    distinct,
    is_address,
    not_empty,
    parse_address,
)
from limelever.common.settings.problems import Clash, SettingsProblem, SettingsProblems
from limelever.common.settings.reader import check_table, load_settings, read_table
from limelever.common.settings.sections import (
    AcceptedCredential,
    CredentialSettings,
    HeaderSettings,
    LinkSettings,
    LogSettings,
    ProcessSettings,
    TlsSettings,
    seconds,
)
from limelever.common.settings.structure import explain, structure

__all__ = [
    "AcceptedCredential",
    "Between",
    "Clash",
    "CredentialSettings",
    "HeaderSettings",
    "LinkSettings",
    "LogSettings",
    "ProcessSettings",
    "SettingsProblem",
    "SettingsProblems",
    "TlsSettings",
    "between",
    "check_table",
    "dialled",
    "distinct",
    "explain",
    "load_settings",
    "not_empty",
    "is_address",
    "parse_address",
    "read_table",
    "seconds",
    "structure",
]
