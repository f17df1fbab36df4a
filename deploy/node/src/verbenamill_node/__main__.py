"""``python3 -m verbenamill_node``: the daemon."""

import sys

from verbenamill_node.starting import main

if __name__ == '__main__':
    sys.exit(main())
