"""Traffic decisions as pure functions and small state objects, without I/O.

Times are in seconds on a monotonic clock and are passed in by the caller, so
that a test or an emulator can run the same code on a simulated clock.
"""
