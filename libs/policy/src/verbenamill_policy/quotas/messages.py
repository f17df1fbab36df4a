"""Messages by which daemons move tokens.

Organisations are named by checksums, and tokens are counted in thousandths.
"""

from enum import IntEnum, unique
from typing import Annotated

from msgspec import Meta, Struct

from verbenamill_model.external import (
    MAX_CHECKSUM,
    Amount,
    DurationMs,
    Number,
    UnixMs,
    VmField,
)
from verbenamill_policy.quotas.limits import OrganisationId

#: Units of a token in messages.
TOKEN_UNITS = 1000

_OrganisationField = Annotated[OrganisationId, Meta(ge=0, le=MAX_CHECKSUM)]


@unique
class RequestKind(IntEnum):
    """What a daemon asks of a pool.

    ``DELEGATE``: a report that delegates the share of the sender.
    ``REPORT``: a report that does not, and ends an earlier delegation.
    ``TOKENS``: tokens for requests that wait at the sender.
    ``TRANSFER``: tokens for the pool of the sender.
    """

    DELEGATE = 0
    REPORT = 1
    TOKENS = 2
    TRANSFER = 3


class TokenDemand(Struct, frozen=True, array_like=True):
    """Tokens of one organisation that a daemon wants, holds and returns.

    :param wanted: for requests that wait, or that were refused recently.
    :param ahead: for requests that are expected until the next report.
    :param held: tokens that remain at the sender.
    :param returned: tokens that the sender gives back with this message.
    """

    organisation: _OrganisationField
    wanted: Amount
    ahead: Amount = 0
    held: Amount = 0
    returned: Amount = 0


class TokenRequest(Struct, frozen=True, tag='q', array_like=True):
    """Reports to a pool, or asks it for tokens.

    :param number: increases with each request of an incarnation; a request
        that is sent again has the same number.
    :param daemons: number of daemons that the sender knows.
    """

    sender: VmField
    incarnation: UnixMs
    number: Number
    kind: RequestKind
    daemons: Number
    demands: list[TokenDemand]


class Granted(Struct, frozen=True, array_like=True):
    """Tokens of one organisation that a pool gives.

    :param wait: time until another token is expected, in milliseconds; 0 if
        all that were wanted are given.
    """

    organisation: _OrganisationField
    tokens: Amount
    wait: DurationMs = 0


class TokenGrant(Struct, frozen=True, tag='g', array_like=True):
    """Answers a request for tokens.

    :param number: number of the request.
    :param accepted: whether the sender hosts a pool for the receiver.
    :param daemons: number of daemons that the sender knows.
    """

    sender: VmField
    number: Number
    accepted: bool
    daemons: Number
    granted: list[Granted]


def encode_tokens(tokens: float) -> int:
    """Convert tokens to the unit of messages, rounded down."""
    return int(tokens * TOKEN_UNITS)


def decode_tokens(units: int) -> float:
    """Convert the unit of messages to tokens."""
    return units / TOKEN_UNITS
