"""Checkpoints of the state on an internal stream of the log.

Records of ``config`` expire, so the state must be on the log before the oldest
record that it depends on is gone. A checkpoint states its offset. A duplicate,
or one that a paused writer appends late, does no harm, since readers use the
checkpoint with the highest offset.
"""

from collections.abc import Callable
from datetime import datetime
from random import Random

import msgspec
import trio
from msgspec import Struct
from returns.result import Failure, Success

from verbenamill_mesh.configuration import Configuration
from verbenamill_mesh.newest_records import read_newest_records
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_model import Entry
from verbenamill_model.typing import Offset
from verbenamill_runtime import Clock, Log
from verbenamill_runtime.streams import CHECKPOINTS_STREAM
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Newest records read; late ones of paused writers may be among them.
NEWEST_RECORDS = 4
#: Checks per checkpoint interval whether a checkpoint is due.
CHECKS_PER_INTERVAL = 6
#: New records after which a checkpoint may be due before the interval ends.
MIN_NEW_RECORDS = 16


class CheckpointRecord(Struct, frozen=True, array_like=True):
    """A checkpoint as it is stored on the log."""

    offset: Offset
    body: bytes


class _KnownCheckpoint(Struct, frozen=True):
    offset: Offset
    at: datetime


_decoder = msgspec.msgpack.Decoder(CheckpointRecord)


class Checkpoints:
    """Writes checkpoints when they are due, and reads them.

    :param get_writer_rank: returns how many other zones write before this
        daemon, or ``None`` when this daemon does not write.
    """

    def __init__(
        self,
        *,
        platform_log: Log,
        configuration: Configuration,
        get_writer_rank: Callable[[], int | None],
        settings: MeshSettings,
        clock: Clock,
        random: Random,
        stats: MeshStats,
    ) -> None:
        self._log = platform_log
        self._configuration = configuration
        self._get_writer_rank = get_writer_rank
        self._settings = settings
        self._clock = clock
        self._random = random
        self._stats = stats
        self._newest: _KnownCheckpoint | None = None
        self._oldest_record = Offset(0)

    def set_oldest_record(self, oldest: Offset) -> None:
        """Set the first offset that the log still has."""
        self._oldest_record = oldest

    async def run(self) -> None:
        """Write checkpoints until cancelled."""
        pause = (
            self._settings.checkpoint_interval.total_seconds()
            / CHECKS_PER_INTERVAL
        )
        while True:
            await trio.sleep(pause * self._random.uniform(0.5, 1.5))
            if self._is_due():
                await self._write_if_due()

    async def restore(self) -> bool:
        """Restore the state from the newest usable checkpoint on the log.

        :returns: whether the configuration advanced.
        """
        before = self._configuration.state.offset
        for record in reversed(await self._read()):
            outcome = self._configuration.restore(record.body)
            if isinstance(outcome, Success):
                log(
                    Event.CHECKPOINT_USED,
                    offset=record.offset,
                    source='the log',
                )
                break
            log(Event.CHECKPOINT_REFUSED, reason=outcome.failure())
        return self._configuration.state.offset > before

    async def _write_if_due(self) -> None:
        # Another writer may have written one, or an earlier append may have
        # succeeded although its answer was lost; so read before writing.
        await self._read()
        if not self._is_due():
            return
        record = CheckpointRecord(
            offset=self._configuration.state.offset,
            body=self._configuration.checkpoint(),
        )
        self._stats.count_log_request(CHECKPOINTS_STREAM)
        outcome = await self._log.append(
            CHECKPOINTS_STREAM,
            msgspec.msgpack.encode(record),
        )
        match outcome:
            case Success(_):
                self._newest = _KnownCheckpoint(
                    record.offset, self._clock.now()
                )
                log(Event.CHECKPOINT_WRITTEN, offset=record.offset)
            case Failure(error):
                log(Event.LOG_UNAVAILABLE, detail=error.detail)

    def _is_due(self) -> bool:
        writer_rank = self._get_writer_rank()
        offset = self._configuration.state.offset
        if writer_rank is None or offset < 0:
            return False
        if self._newest is None:
            return True
        delay_factor = 1 + writer_rank / 4
        age = self._clock.now() - self._newest.at
        if age > delay_factor * self._settings.checkpoint_interval:
            # A checkpoint is due even if nothing changed, since checkpoints
            # expire too.
            return True
        return self._is_expiring(offset, delay_factor)

    def _is_expiring(self, offset: Offset, delay_factor: float) -> bool:
        """Whether the records after the newest checkpoint expire soon.

        True once the checkpoint is in the older half of what the log keeps, so
        that about half of it is left, whatever the retention is.
        """
        assert self._newest is not None, 'no checkpoint has been read yet'
        new_records = offset - self._newest.offset
        middle = (self._oldest_record + offset) / 2
        return (
            new_records >= delay_factor * MIN_NEW_RECORDS
            and self._newest.offset < middle
        )

    async def _read(self) -> list[CheckpointRecord]:
        """Read the newest checkpoints, in the order of their offsets."""
        self._stats.count_log_request(CHECKPOINTS_STREAM)
        outcome = await read_newest_records(
            self._log, CHECKPOINTS_STREAM, NEWEST_RECORDS
        )
        if isinstance(outcome, Failure):
            return []
        entries = outcome.unwrap()
        read = [(_decode(entry), entry.at) for entry in entries]
        readable = [(record, at) for record, at in read if record is not None]
        readable.sort(key=_offset_of)
        if readable:
            newest, written_at = readable[-1]
            self._newest = _KnownCheckpoint(newest.offset, written_at)
        return [record for record, _ in readable]


def _offset_of(found: tuple[CheckpointRecord, datetime]) -> Offset:
    return found[0].offset


def _decode(entry: Entry) -> CheckpointRecord | None:
    try:
        return _decoder.decode(entry.body)
    except msgspec.MsgspecError:
        log(
            Event.CHECKPOINT_REFUSED,
            reason=f'record {entry.offset} is not a checkpoint',
        )
        return None
