"""Starts the real daemon, with its clock set back where that is asked."""

import sys
from datetime import UTC, datetime, timedelta

from verbenamill_node.early_signals import ignore_hangups


def main() -> int:
    """Run the daemon on a clock that is behind by the first argument.

    Setting back the clock of the machine needs rights that a soak lacks;
    the daemon takes its wall clock from one function.
    """
    ignore_hangups()
    from verbenamill_node import startup  # noqa: PLC0415

    behind = timedelta(seconds=float(sys.argv.pop(1)))
    startup._now = lambda: datetime.now(UTC) - behind  # noqa: SLF001
    return startup.main()


if __name__ == '__main__':
    sys.exit(main())
