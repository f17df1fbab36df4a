"""From the settings file to the settings of calls."""

from verbenamill_calls import CallSettings
from verbenamill_daemon.settings import CallLimits


def read_limits(limits: CallLimits) -> CallSettings:
    """Settings of calls with the operator's limits in place."""
    return CallSettings(
        max_body=limits.max_body_bytes,
        max_connections=limits.max_connections,
        queue_factor=limits.queue_factor,
        queue_wait=limits.queue_timeout,
        max_remembered=limits.remembered_requests,
        stop_timeout=limits.shutdown_timeout,
    )
