"""Identifiers, tickets, snapshots and the acceptance of configuration."""

from verbenamill_model.accept import (
    Answer,
    Applied,
    Duplicate,
    accept,
    fold,
)
from verbenamill_model.checks import find_faults, find_form_faults
from verbenamill_model.codec import (
    as_plain,
    decode_record,
    decode_state,
    encode_record,
    encode_state,
)
from verbenamill_model.faults import Fault
from verbenamill_model.entries import Entry
from verbenamill_model.state import (
    AuditEntry,
    Move,
    Refusal,
    ServiceState,
    Snapshot,
    State,
    Verdict,
)
from verbenamill_model.ticket_file import read_ticket
from verbenamill_model.tickets import (
    Record,
    Route,
    Service,
    Ticket,
    TicketRecord,
    VerdictRecord,
)

__all__ = (
    'Answer',
    'Applied',
    'AuditEntry',
    'Duplicate',
    'Entry',
    'Fault',
    'Move',
    'Record',
    'Refusal',
    'Route',
    'Service',
    'ServiceState',
    'Snapshot',
    'State',
    'Ticket',
    'TicketRecord',
    'Verdict',
    'VerdictRecord',
    'accept',
    'as_plain',
    'decode_record',
    'decode_state',
    'encode_record',
    'encode_state',
    'find_faults',
    'find_form_faults',
    'fold',
    'read_ticket',
)
