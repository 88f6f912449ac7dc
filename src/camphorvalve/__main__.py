"""Entry point of ``camphorvalve`` and ``python -m camphorvalve``."""

from __future__ import annotations

import sys

from camphorvalve.cli.main import main


def run() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(main())


if __name__ == "__main__":
    run()


__all__ = ["run"]
