"""Soak: real daemons as processes, faults from outside, promises checked."""
