"""Entry point of ``limelever``."""

from __future__ import annotations

import sys

from limelever.cli.roles import parse_role_arguments, run_role


def main() -> None:
    """Run the command line and exit with its status: 0 done, 1 refused, 2 wrong usage.

    A long-running role is started before the libraries behind the other commands are imported.
    """
    arguments = parse_role_arguments(sys.argv[1:])
    if arguments is not None:
        sys.exit(run_role(arguments))
    from limelever.cli.application import app

    app()


if __name__ == "__main__":
    main()
