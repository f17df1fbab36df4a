"""Log service, announcements, clock and retry delays behind interfaces."""

from verbenamill_runtime.announcements import (
    Announcement,
    read_announcement,
)
from verbenamill_runtime.backoff import full_jitter
from verbenamill_runtime.clock import Clock, SystemClock, TrioClock
from verbenamill_runtime.log import Log, LogError, LogFault, LogPage

__all__ = (
    'Announcement',
    'Clock',
    'Log',
    'LogError',
    'LogFault',
    'LogPage',
    'SystemClock',
    'TrioClock',
    'full_jitter',
    'read_announcement',
)
