"""Structured logging; it lives in the platform library for all to use."""

from verbenamill_platform.logs import log, set_up_logs

__all__ = ('log', 'set_up_logs')
