"""The log service, announcements, health and clock behind interfaces."""

from verbenamill_platform.announcements import (
    Announcement,
    read_announcement,
)
from verbenamill_platform.backoff import full_jitter
from verbenamill_platform.clock import Clock, SystemClock, TrioClock
from verbenamill_platform.http_log import HttpLog
from verbenamill_platform.log import Log, LogError, LogFault, LogPage

__all__ = (
    'Announcement',
    'Clock',
    'HttpLog',
    'Log',
    'LogError',
    'LogFault',
    'LogPage',
    'SystemClock',
    'TrioClock',
    'full_jitter',
    'read_announcement',
)
