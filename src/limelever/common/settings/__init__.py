"""Settings: TOML files into typed classes, with every problem listed at once.

A role's settings are a frozen attrs class derived from :class:`ProcessSettings`. Ranges are
attrs validators; rules between keys stand in the class's ``CLASHES``. Unknown keys are problems.
Durations carry their unit in the key's name (``_ms``), sizes end in ``_bytes``.

What reads files (``reader``, ``structure``) isn't imported here: a process whose settings are built
in code is spared cattrs and the parser.
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
from limelever.common.settings.sections import (
    AcceptedCredential,
    BodySettings,
    CredentialSettings,
    HeaderSettings,
    LinkSettings,
    LogSettings,
    ProcessSettings,
    TenantLimitSettings,
    TlsSettings,
    seconds,
)

__all__ = [
    "AcceptedCredential",
    "Between",
    "BodySettings",
    "Clash",
    "CredentialSettings",
    "HeaderSettings",
    "LinkSettings",
    "LogSettings",
    "ProcessSettings",
    "SettingsProblem",
    "SettingsProblems",
    "TenantLimitSettings",
    "TlsSettings",
    "between",
    "dialled",
    "distinct",
    "not_empty",
    "is_address",
    "parse_address",
    "seconds",
]
