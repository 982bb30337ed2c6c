"""Steps of the feature on what a role's process imports."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

UNNEEDED = (
    "behave",
    "click",
    "grpc",
    "hypothesis",
    "limelever.cli.application",
    "limelever_lab",
    "matplotlib",
    "numpy",
    "pydantic",
    "rich",
    "simpy",
    "typer",
)
# In a process of its own: this one has imported nearly everything.
PROGRAM = """
import importlib, sys
import limelever.cli.main
from limelever.cli.roles import settings_class
from limelever.common.sansio import Role
settings_class(Role(sys.argv[1]))
importlib.import_module(f"limelever.{sys.argv[1]}.process")
print("\\n".join(sys.modules))
"""

PLATFORM = Path(__file__).resolve().parents[2] / "platform"
PLATFORM_PROGRAM = """
import importlib, sys
sys.path.insert(0, sys.argv[2])
for part in ("boot", "calls"):
    importlib.import_module(f"{sys.argv[1]}_{part}")
print("\\n".join(sys.modules))
"""


def imported_below(modules, names):
    """Return the names of which a module, or one below it, was imported."""
    return [n for n in names if any(m == n or m.startswith(f"{n}.") for m in modules)]


@when("a process imports what {role} needs to run without an admin listener")
def step_settings_imports(context, role):
    command = [sys.executable, "-c", PROGRAM, role]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    context.settings_modules = set(done.stdout.split())
    assert f"limelever.{role}.process" in context.settings_modules


@when("a process imports what the platform's {role} needs to run")
def step_platform_imports(context, role):
    command = [sys.executable, "-c", PLATFORM_PROGRAM, role, str(PLATFORM)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    context.settings_modules = set(done.stdout.split())


@then("the process has imported none of the modules that no role needs")
def step_settings_imports_unneeded(context):
    assert not imported_below(context.settings_modules, UNNEEDED)


@then("the process has imported none of {modules}")
def step_settings_imports_none(context, modules):
    found = imported_below(context.settings_modules, modules.split(", "))
    assert not found, found
