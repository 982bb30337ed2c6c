"""Steps of the documents feature: links, lists, commands and words are held against the code."""

import ast
import re
import shlex
import subprocess
import sys
from pathlib import Path

import typer
from behave import then

from limelever.cli.application import app
from limelever.cli.roles import PROCESS_ROLES, settings_class
from limelever.common.settings import ProcessSettings
from limelever_lab.cli import COMMANDS
from limelever_lab.settings_schema import keys_of

ROOT = Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
CHECKED_FOLDERS = (".ci", "docs", "etc", "features", "src", "results")
UNCHECKED_SUFFIXES = (".pyc", ".png")
LINK = re.compile(r"\]\(([^)\s]+)\)")
URL_HOST = re.compile(r"\w+://([^/\s\"'`<>()|,\\]+)")
TABLE_ROW = re.compile(r"^\| (.+) \|$", re.MULTILINE)
COMMAND_LINE = re.compile(r"^(?:\$ | {4,})(limelever(?:-lab)? .+)$", re.MULTILINE)
# Written in parts, so that this file does not hold what it looks for.
MACHINE_PATH = re.compile("|".join("/" + name + "/" for name in ("work", "home", "root", "Users")))
REGISTRY = re.compile(
    "|".join(a + b for a, b in (("py", "pi"), ("index", "-url"), ("arti", "factory")))
)
ALLOWED_HOST = re.compile(
    r"^(127\.0\.0\.1|0\.0\.0\.0|localhost|\[::1\]|\{.*|.*\.(example|invalid|test))(:.*)?$"
)
OWN_WORDS = re.compile(r"\S")


def documents():
    return [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted(DOCS.rglob("*.md"))]


def repository_files():
    files = [path for path in ROOT.iterdir() if path.is_file()]
    for folder in CHECKED_FOLDERS:
        files += [path for path in (ROOT / folder).rglob("*") if path.is_file()]
    kept = (path for path in files if path.suffix not in UNCHECKED_SUFFIXES)
    return [path for path in kept if ".egg-info" not in str(path)]


def links_of(page):
    """Return the files that a page's relative links lead to."""
    targets = (link.partition("#")[0] for link in LINK.findall(page.read_text()))
    return [(page.parent / target).resolve() for target in targets if _is_relative(target)]


def _is_relative(target):
    return bool(target) and "://" not in target


def rows_of(text):
    """Return the cells of each table row, without headings' rulers."""
    rows = [[cell.strip() for cell in row.split(" | ")] for row in TABLE_ROW.findall(text)]
    return [row for row in rows if not set("".join(row)) <= set("-| ")]


def click_commands():
    """Return name -> click command of limelever, such as ``settings check``."""
    found = {}

    def collect(command, words):
        children = getattr(command, "commands", None)
        if children is None:
            found[" ".join(words)] = command
            return
        for name, child in children.items():
            collect(child, (*words, name))

    collect(typer.main.get_command(app), ())
    return found


@then("every relative link in the documents leads to a file")
def step_documents_links(context):
    lost = [
        (page.name, str(to)) for page in documents() for to in links_of(page) if not to.exists()
    ]
    assert not lost, lost


@then("every document is reached from the README by links")
def step_documents_reached(context):
    reached, waiting = set(), [ROOT / "README.md"]
    while waiting:
        page = waiting.pop()
        if page not in reached and page.suffix == ".md" and page.exists():
            reached.add(page)
            waiting += links_of(page)
    lost = set(documents()) - reached
    assert not lost, lost


@then("the page of events is what the laboratory prints")
def step_documents_events_page(context):
    # In a process of its own: here, other steps have imported modules that define events.
    command = [sys.executable, "-m", "limelever_lab.cli", "docs-events"]
    printed = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    page = (DOCS / "EVENTS.md").read_text()
    assert page == printed, "run `limelever-lab docs-events > docs/EVENTS.md`"


@then("the page of events has every event that the code defines")
def step_documents_events_defined(context):
    shown = {row[0] for row in rows_of((DOCS / "EVENTS.md").read_text())}
    for path in sorted((ROOT / "src" / "limelever").rglob("*.py")):
        codes = [
            str(node.args[0].value)
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "define"
        ]
        assert set(codes) <= shown, (path.name, set(codes) - shown)


@then("the settings page shows every key with its type, default and range")
def step_documents_settings(context):
    sections = (DOCS / "operators" / "settings.md").read_text().split("\n## ")[1:]
    shown = {section.partition("\n")[0]: rows_of(section)[1:] for section in sections}
    common = list(keys_of(ProcessSettings))
    expected = {"Every role": common}
    for role in PROCESS_ROLES:
        own = [key for key in keys_of(settings_class(role)) if key not in common]
        expected[role.value.capitalize()] = own
    assert set(shown) == set(expected), set(shown) ^ set(expected)
    for name, keys in expected.items():
        wanted = [[f"`{key.path}`", key.kind, key.default_text, key.range_text] for key in keys]
        cells = [row[:4] for row in shown[name]]
        missing = [row for row in wanted if row not in cells]
        unknown = [row for row in cells if row not in wanted]
        assert cells == wanted, f"{name}: missing {missing}, unknown {unknown}, or out of order"
        assert all(OWN_WORDS.search(row[4]) for row in shown[name]), name


@then("every command of limelever has help with an example")
def step_documents_help(context):
    for name, command in click_commands().items():
        assert f"Example: limelever {name}" in (command.help or ""), name


@then("every command of limelever and of its laboratory is named in a document")
def step_documents_commands_named(context):
    text = "\n".join(page.read_text() for page in documents())
    for name in click_commands():
        assert re.search(rf"\blimelever {name}\b", text), name
    for command in COMMANDS:
        assert re.search(rf"`(limelever-lab )?{command.name}\b", text), command.name


@then("every command line in the documents uses commands and options that exist")
def step_documents_command_lines(context):
    commands = click_commands()
    laboratory = {command.name for command in COMMANDS}
    lines = [line for page in documents() for line in COMMAND_LINE.findall(page.read_text())]
    assert lines
    for line in lines:
        program, *words = shlex.split(line, comments=True)
        if program == "limelever-lab":
            assert words[0] in laboratory, line
            continue
        name = " ".join(words[:2]) if " ".join(words[:2]) in commands else words[0]
        assert name in commands, line
        known = {option for parameter in commands[name].params for option in parameter.opts}
        used = {word for word in words if word.startswith("--")}
        assert used <= known, (line, used - known)


@then("the commands of the README are targets of the Makefile")
def step_documents_makefile(context):
    targets = set(re.findall(r"^(\w+):", (ROOT / "Makefile").read_text(), re.MULTILINE))
    used = set(re.findall(r"^ {4}make (\w+)", (ROOT / "README.md").read_text(), re.MULTILINE))
    assert {"demo", "test"} <= used <= targets, used


@then("the index of design notes names every note, each with its decision")
def step_documents_design_index(context):
    index = DOCS / "design" / "README.md"
    rows = rows_of(index.read_text())[1:]
    named = {LINK.search(row[0]).group(1): row[1] for row in rows}
    notes = {path.name for path in index.parent.glob("*.md")} - {"README.md"}
    assert set(named) == notes, set(named) ^ notes
    assert all(OWN_WORDS.search(decision) for decision in named.values())


@then("no file names a path of one machine")
def step_documents_machine_paths(context):
    found = [path for path in repository_files() if MACHINE_PATH.search(path.read_text())]
    assert not found, found


@then("no file names a host but loopback and example ones")
def step_documents_hosts(context):
    strange = []
    for path in repository_files():
        text = path.read_text()
        strange += [(path.name, host) for host in URL_HOST.findall(text) if not allowed_host(host)]
        strange += [(path.name, word) for word in REGISTRY.findall(text)]
    assert not strange, strange


def allowed_host(host):
    return ALLOWED_HOST.match(host) is not None


@then("the glossary maps each of these words to one of ours")
def step_documents_glossary(context):
    users = (DOCS / "GLOSSARY.md").read_text().split("\n## ")[1]
    rows = rows_of(users)[1:]
    for row in context.table:
        meant = [cells for cells in rows if row["word"] in cells[0]]
        assert meant, row["word"]
        assert all(OWN_WORDS.search(cells[1]) and LINK.search(cells[2]) for cells in meant)
