"""Runs the daemon: ``python3 -m verbenamill_node``."""

import gc
import sys

from verbenamill_node.early_signals import ignore_hangups

if __name__ == '__main__':
    ignore_hangups()
    # Nearly everything that imports create is kept, so collections during
    # them would find little; the daemon enables them once it has started.
    gc.disable()
    from verbenamill_node.startup import main

    sys.exit(main())
