"""Prints docs/ERRORS.md from the table of errors: ``python -m limelever.cli.error_page``."""

from __future__ import annotations

from limelever.common.errors import ERROR_TABLE, ErrorAnswer, ErrorKind

HEADING = """# Errors

The closed list of error kinds and how each is answered. This page is printed by
`python -m limelever.cli.error_page`, and a test holds it against the code.

*Outcome* says whether the request that is answered was run: `not-run` is a promise, `unknown`
is not a refusal. *Advice* says what to do next: `never` (the same again fails again),
`after-delay`, `after-change` (of the configuration or of the request), `elsewhere` (another
process), `same-request-id` (send the same again; it runs at most once).

| kind | HTTP status | gRPC status | outcome | advice |
|---|---|---|---|---|
"""


def render() -> str:
    """Return the whole page."""
    return HEADING + "".join(_row(kind, answer) for kind, answer in ERROR_TABLE.items())


def _row(kind: ErrorKind, answer: ErrorAnswer) -> str:
    cells = (
        f"`{kind.value}`",
        str(answer.http_status),
        f"{answer.grpc_status.name} ({answer.grpc_status.value})",
        answer.outcome.value,
        answer.advice.value,
    )
    return f"| {' | '.join(cells)} |\n"


if __name__ == "__main__":
    print(render(), end="")
