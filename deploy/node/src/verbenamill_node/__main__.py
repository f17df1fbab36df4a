"""Runs the daemon: ``python3 -m verbenamill_node``."""

import sys

from verbenamill_node.early_signals import ignore_hangups

if __name__ == '__main__':
    ignore_hangups()
    from verbenamill_node.startup import main

    sys.exit(main())
