"""Encoding and decoding of records and states with msgspec."""

import hashlib
from datetime import datetime
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from verbenamill_model.state import State
from verbenamill_model.tickets import Record, Ticket

#: Maximum size of an accepted record, in bytes.
MAX_RECORD = 256 * 1024

_json_encoder = msgspec.json.Encoder(order='deterministic')
_record_decoder = msgspec.json.Decoder(Record)
_state_decoder = msgspec.json.Decoder(State)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return _json_encoder.encode(record)


def decode_record(body: bytes) -> Result[Record, str]:
    """Decode a record, or return the reason why it is invalid."""
    if len(body) > MAX_RECORD:
        return Failure(
            f'record of {len(body)} bytes is longer than {MAX_RECORD}; '
            'split the ticket',
        )
    try:
        return Success(_record_decoder.decode(body))
    except msgspec.MsgspecError as error:
        return Failure(f'record cannot be read: {error}')


def encode_state(state: State) -> bytes:
    """Encode a state for a checkpoint; equal states have equal encodings."""
    # The encoder sorts the keys of a mapping only if all of them are strings.
    return _json_encoder.encode(as_plain(state))


def decode_state(body: bytes) -> Result[State, str]:
    """Decode a checkpoint, or return the reason why it is invalid."""
    try:
        return Success(_state_decoder.decode(body))
    except msgspec.MsgspecError as error:
        return Failure(f'checkpoint cannot be read: {error}')


def digest_ticket(ticket: Ticket) -> str:
    """Digest that distinguishes a repeated ticket from a different one."""
    body = _json_encoder.encode(ticket)
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def as_plain(value: Any) -> Any:
    """Convert messages to built-in types, for ``--json``."""
    return msgspec.to_builtins(value, str_keys=True)


def parse_time(text: str) -> datetime:
    """Parse a time in ISO 8601 format.

    :raises ValueError: if the text is not a time or has no offset from UTC.
    """
    time = datetime.fromisoformat(text)
    if time.tzinfo is None:
        raise ValueError(f'time {text!r} has no offset; write e.g. +00:00')
    return time
