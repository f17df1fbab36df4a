"""Decisions about traffic as plain functions and small states, without I/O.

Times are seconds on a monotonic clock, passed in by the caller, so that a
test or an emulator can run the same code on a clock of its own.
"""
