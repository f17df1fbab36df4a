"""Conversion of the settings file's call limits to the call settings."""

from verbenamill_calls import CallSettings
from verbenamill_daemon.settings import CallLimits


def build_call_settings(limits: CallLimits) -> CallSettings:
    """Build the settings of the call server from the operator's limits."""
    return CallSettings(
        max_body=limits.max_body_bytes,
        max_connections=limits.max_connections,
        queue_factor=limits.queue_factor,
        queue_wait=limits.queue_timeout,
        max_remembered=limits.remembered_requests,
        stop_timeout=limits.shutdown_timeout,
    )
