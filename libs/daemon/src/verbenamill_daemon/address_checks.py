"""Checks that the daemon can bind the addresses it is to listen on."""

import socket

from verbenamill_daemon.settings import ListenSettings
from verbenamill_http.addresses import parse_address


def find_unusable_addresses(listen: ListenSettings) -> tuple[str, ...]:
    """Try to bind each address and describe the failures to the operator.

    Without this check, an address in use would end the daemon with a
    library's traceback only when that listener starts, after the daemon has
    already announced itself to the others.

    :returns: one message for each address that cannot be bound.
    """
    addresses = {
        'calls': listen.calls,
        'control': listen.control,
        'admin': listen.admin,
    }
    return tuple(
        f'listen.{key} = "{address}": cannot listen here ({reason}); stop '
        'the process that uses it or choose another address of this VM'
        for key, address in addresses.items()
        if (reason := _try_bind(address))
    )


def _try_bind(text: str) -> str:
    """Bind and release an address; returns the error, or an empty string."""
    address = parse_address(text)
    is_ipv6 = ':' in address.host
    family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
    with socket.socket(family) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address.host, address.port))
            probe.listen()
        except OSError as error:
            return error.strerror or repr(error)
    return ''
