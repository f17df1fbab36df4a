"""The daemon beside an upstream: calls, membership, configuration, moves."""
