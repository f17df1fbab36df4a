"""``verbenamill``, the command line tool of the operators."""
