"""Routing, admission, retries and deduplication of calls."""

from verbenamill_calls.context import CallContext
from verbenamill_calls.local import LocalUpstream
from verbenamill_calls.server import CallServer
from verbenamill_calls.settings import CallSettings
from verbenamill_calls.stats import CallStats

__all__ = (
    'CallContext',
    'CallServer',
    'CallSettings',
    'CallStats',
    'LocalUpstream',
)
