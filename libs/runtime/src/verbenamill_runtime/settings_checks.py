"""Combinations of settings that cannot work together."""

from itertools import combinations

from verbenamill_model.faults import Fault
from verbenamill_http.addresses import Address, parse_address
from verbenamill_runtime.settings_types import ListenSettings, Settings


def find_clashes(settings: Settings) -> tuple[Fault, ...]:
    """Faults of settings that are each good by themselves."""
    return (
        *_find_shared_addresses(settings.listen),
        *_find_unreachable(settings.listen),
        *_find_loopback(settings),
        *_find_contradictions(settings),
    )


_LISTENERS = ('calls', 'control', 'admin')


def _addresses(listen: ListenSettings, form: str) -> dict[str, Address]:
    """Addresses that are set, by listener, of ``calls`` and the like.

    :param form: prefix of the key, such as ``advertise_``.
    """
    found = {name: getattr(listen, f'{form}{name}') for name in _LISTENERS}
    return {
        name: parse_address(address)
        for name, address in found.items()
        if address is not None
    }


def _find_shared_addresses(listen: ListenSettings) -> list[Fault]:
    pairs = combinations(_addresses(listen, '').items(), 2)
    return [
        Fault(
            key=f'listen.{name}',
            found=f'"{address}"',
            expected=f'a port that listen.{other} does not use',
        )
        for (other, taken), (name, address) in pairs
        if address.overlaps(taken)
    ]


def _find_unreachable(listen: ListenSettings) -> list[Fault]:
    """Addresses that the other daemons would be told but cannot use."""
    told = _addresses(listen, 'advertise_')
    missing = [
        Fault(
            key=f'listen.advertise_{name}',
            expected=(
                'the address that others reach, since '
                f'listen.{name} = "{address}" is every interface'
            ),
        )
        for name, address in _addresses(listen, '').items()
        if address.is_wildcard and name not in told
    ]
    unusable = [
        Fault(
            key=f'listen.advertise_{name}',
            found=f'"{address}"',
            expected='one IP number and a port above 0',
        )
        for name, address in told.items()
        if address.is_wildcard or address.port == 0
    ]
    return [*missing, *unusable]


def _find_loopback(settings: Settings) -> list[Fault]:
    """A daemon on loopback that is to join daemons on other machines."""
    told = parse_address(settings.listen.told_control)
    seeds = map(parse_address, settings.mesh.seeds)
    remote = next((seed for seed in seeds if not seed.is_loopback), None)
    if remote is None or not told.is_loopback:
        return []
    return [
        Fault(
            key='listen.control',
            found=f'"{told}"',
            expected=(
                f'an address that the seed {remote} can reach, '
                'or listen.advertise_control'
            ),
        ),
    ]


def _find_contradictions(settings: Settings) -> list[Fault]:
    faults = []
    calls = settings.calls
    if calls.shutdown_timeout <= calls.queue_timeout:
        # Calls that wait for a slot would be cut by a graceful stop.
        faults.append(
            Fault(
                key='calls.shutdown_timeout',
                found=f'{calls.shutdown_timeout.total_seconds():g}s',
                expected=(
                    'longer than calls.queue_timeout, '
                    f'{calls.queue_timeout.total_seconds():g}s'
                ),
            ),
        )
    admin = parse_address(settings.listen.admin)
    if settings.test.switches and not admin.is_loopback:
        # Whoever reaches the admin address could cut the mesh apart.
        faults.append(
            Fault(
                key='test.switches',
                found='true',
                expected=(
                    f'false, unless listen.admin is on loopback (it is {admin})'
                ),
            ),
        )
    return faults
