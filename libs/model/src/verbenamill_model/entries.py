"""Records of the log with their position."""

from datetime import datetime

from msgspec import Struct

from verbenamill_model.typing import Offset


class Entry(Struct, frozen=True, kw_only=True):
    """One record of the log with its offset and the timestamp of the log."""

    offset: Offset
    at: datetime
    body: bytes
