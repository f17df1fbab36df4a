"""Records of the log with their place on it."""

from datetime import datetime

from msgspec import Struct

from verbenamill_model.typing import Offset


class Entry(Struct, frozen=True, kw_only=True):
    """One record of the log with its place and the log's own time stamp."""

    offset: Offset
    at: datetime
    body: bytes
