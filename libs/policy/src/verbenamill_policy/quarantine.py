"""Requests under which upstreams crash, and what is known of them."""

from typing import NewType

#: Names one crash of one upstream.
CrashId = NewType('CrashId', str)
