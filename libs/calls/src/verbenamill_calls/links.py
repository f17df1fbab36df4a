"""What every call to another daemon needs."""

from dataclasses import dataclass

from verbenamill_calls.context import CallContext
from verbenamill_calls.settings import CallSettings
from verbenamill_calls.stats import CallStats


@dataclass(frozen=True)
class Links:
    """What every call to another daemon needs."""

    context: CallContext
    settings: CallSettings
    stats: CallStats
