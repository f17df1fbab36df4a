"""Looking whether the addresses to listen on can be used."""

import socket

from verbenamill_daemon.settings import ListenSettings
from verbenamill_http.addresses import parse_address


def find_unusable(listen: ListenSettings) -> tuple[str, ...]:
    """Faults of the addresses, in words an operator can act on.

    Found only when its turn comes, a taken address would end the daemon
    with a library's traceback after it has told the others of itself.
    """
    addresses = {
        'calls': listen.calls,
        'control': listen.control,
        'admin': listen.admin,
    }
    return tuple(
        f'listen.{key} = "{address}": cannot be listened on ({reason}); end '
        'what uses it, or take another one of this VM'
        for key, address in addresses.items()
        if (reason := _try(address))
    )


def _try(text: str) -> str:
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
