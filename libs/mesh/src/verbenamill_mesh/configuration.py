"""A proxy's configuration: the state folded from the log so far."""

from collections import deque
from itertools import islice
from zlib import compress, decompressobj
from zlib import error as ZlibError

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_model import (
    Entry,
    Snapshot,
    State,
    decode_state,
    encode_state,
    fold,
)
from verbenamill_model.applying import assert_consistent
from verbenamill_model.typing import Offset

#: Records kept for peers that lag slightly; others get a checkpoint.
MAX_KEPT_RECORDS = 1024
#: Bytes of records kept, since one record may have 256 KB.
MAX_KEPT_BYTES = 4 * 1024 * 1024
#: Largest checkpoint after decompression.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024


class ConfigurationHead(Struct, frozen=True, kw_only=True):
    """Offset and digest of a configuration's state.

    :param digest: of the state at that offset; equal on all daemons.
    """

    offset: Offset
    digest: str


class Configuration:
    """The state of one proxy; replaced as a whole, its offset only grows.

    :param max_kept_records: records kept for peers that lag.
    """

    def __init__(self, *, max_kept_records: int = MAX_KEPT_RECORDS) -> None:
        self._state = State()
        self._max_kept_records = max_kept_records
        self._entries: deque[Entry] = deque()
        self._entry_bytes = 0
        self._changed = trio.Event()

    @property
    def state(self) -> State:
        """The state after the last applied record."""
        return self._state

    @property
    def snapshot(self) -> Snapshot:
        """The routes and services that the proxy uses."""
        return self._state.snapshot

    def head(self) -> ConfigurationHead:
        """Offset and digest, by which two daemons compare their states."""
        return ConfigurationHead(
            offset=self._state.offset, digest=self._state.digest
        )

    def apply_records(self, entries: tuple[Entry, ...]) -> bool:
        """Apply the records that follow the state; known ones are skipped.

        :returns: ``False`` when a record is missing before one of them; the
            records before the gap are applied in any case.
        """
        following = self._find_following(entries)
        if following:
            self._replace_state(fold(self._state, following).unwrap())
            self._retain(following)
        return all(entry.offset <= self._state.offset for entry in entries)

    def records_after(
        self, after: Offset, limit: int
    ) -> tuple[Entry, ...] | None:
        """Records after an offset, or ``None`` when they are not kept."""
        if after >= self._state.offset:
            return ()
        if not self._entries or self._entries[0].offset > after + 1:
            return None
        first = after + 1 - self._entries[0].offset
        return tuple(islice(self._entries, first, first + limit))

    def checkpoint(self) -> bytes:
        """The whole state, compressed, for :meth:`restore`."""
        return compress(encode_state(self._state))

    def restore(self, body: bytes) -> Result[State, str]:
        """Replace the state by a checkpoint.

        A checkpoint that is older than the state, such as one appended late by
        a paused writer, is ignored.

        :returns: the state in force, or why the checkpoint is unusable.
        """
        return _decompress(body).bind(decode_state).bind(self._restore_if_newer)

    async def wait_beyond(self, offset: Offset) -> None:
        """Wait until the state is beyond an offset."""
        while self._state.offset <= offset:
            await self._changed.wait()

    def _find_following(
        self,
        entries: tuple[Entry, ...],
    ) -> tuple[Entry, ...]:
        following: list[Entry] = []
        wanted = self._state.offset + 1
        for entry in sorted(entries, key=_offset_of):
            if entry.offset == wanted:
                following.append(entry)
                wanted += 1
        return tuple(following)

    def _restore_if_newer(self, state: State) -> Result[State, str]:
        if state.offset <= self._state.offset:
            return Success(self._state)
        if state.snapshot.version < self._state.snapshot.version:
            return Failure(
                f'checkpoint at {state.offset} has version '
                f'{state.snapshot.version}, older than '
                f'{self._state.snapshot.version}',
            )
        services = state.snapshot.services
        for route in state.snapshot.routes.values():
            if route.service not in services:
                return Failure(
                    f'checkpoint route {route.name} has an unknown service'
                )
        self._replace_state(state)
        self._entries.clear()
        self._entry_bytes = 0
        return Success(state)

    def _replace_state(self, state: State) -> None:
        # Last check before a proxy would use an older version, whatever the
        # cause: callers would see a finished move undone.
        assert state.offset > self._state.offset, (
            'a new state has a higher offset'
        )
        assert state.snapshot.version >= self._state.snapshot.version, (
            'a proxy never changes to an older version'
        )
        assert_consistent(state.snapshot)
        self._state = state
        changed = self._changed
        self._changed = trio.Event()
        changed.set()

    def _retain(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._entries.append(entry)
            self._entry_bytes += len(entry.body)
        while self._entries and (
            len(self._entries) > self._max_kept_records
            or self._entry_bytes > MAX_KEPT_BYTES
        ):
            self._entry_bytes -= len(self._entries.popleft().body)


def _offset_of(entry: Entry) -> Offset:
    return entry.offset


def _decompress(body: bytes) -> Result[bytes, str]:
    decompressor = decompressobj()
    try:
        plain = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
    except ZlibError as error:
        return Failure(f'checkpoint cannot be decompressed: {error}')
    if not decompressor.eof:
        return Failure('checkpoint is cut short or too long')
    return Success(plain)
