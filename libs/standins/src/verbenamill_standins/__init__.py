"""Test doubles for the log service, upstreams and callers."""

from verbenamill_standins.behaviour import Behaviour
from verbenamill_standins.caller import Caller, CallFault, Reply
from verbenamill_standins.http_messages import Message, digest_body
from verbenamill_standins.log_server import LogService, make_log_app
from verbenamill_standins.relay import Relay
from verbenamill_standins.upstream_server import (
    REQUEST_ID_HEADER,
    UPSTREAM_HEADER,
    UpstreamServer,
)

__all__ = (
    'REQUEST_ID_HEADER',
    'UPSTREAM_HEADER',
    'Behaviour',
    'CallFault',
    'Caller',
    'LogService',
    'Message',
    'Relay',
    'Reply',
    'UpstreamServer',
    'digest_body',
    'make_log_app',
)
