"""Encoding of records and states; the codec is msgspec's."""

import hashlib
from datetime import datetime
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from verbenamill_model.state import State
from verbenamill_model.tickets import Record, Ticket

#: Longest record that is accepted, in bytes.
MAX_RECORD = 256 * 1024

_json_encoder = msgspec.json.Encoder(order='deterministic')
_record_decoder = msgspec.json.Decoder(Record)
_state_decoder = msgspec.json.Decoder(State)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return _json_encoder.encode(record)


def decode_record(body: bytes) -> Result[Record, str]:
    """Decode a record, or say what is wrong with it."""
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
    """Encode a state for a checkpoint; equal states give equal bytes."""
    # The encoder orders keys only when all of them are text already.
    return _json_encoder.encode(as_plain(state))


def decode_state(body: bytes) -> Result[State, str]:
    """Decode a checkpoint, or say what is wrong with it."""
    try:
        return Success(_state_decoder.decode(body))
    except msgspec.MsgspecError as error:
        return Failure(f'checkpoint cannot be read: {error}')


def digest_ticket(ticket: Ticket) -> str:
    """Digest that tells a repeated ticket from another one."""
    body = _json_encoder.encode(ticket)
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def as_plain(value: Any) -> Any:
    """Turn messages into plain values for ``--json``."""
    return msgspec.to_builtins(value, str_keys=True)


def parse_time(text: str) -> datetime:
    """Read an ISO 8601 time.

    :raises ValueError: when it is none, or has no offset from UTC.
    """
    moment = datetime.fromisoformat(text)
    if moment.tzinfo is None:
        raise ValueError(f'time {text!r} has no offset; write e.g. +00:00')
    return moment
