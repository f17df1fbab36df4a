"""Checks for settings that conflict with each other."""

from itertools import combinations

from verbenamill_model.faults import Fault
from verbenamill_http.addresses import Address, parse_address
from verbenamill_runtime.settings_types import ListenSettings, Settings


def find_conflicts(settings: Settings) -> tuple[Fault, ...]:
    """Find conflicts between settings that are valid individually."""
    return (
        *_find_shared_addresses(settings.listen),
        *_find_unreachable_addresses(settings.listen),
        *_find_unreachable_loopback(settings),
        *_find_value_conflicts(settings),
    )


_LISTENERS = ('calls', 'control', 'admin')


def _collect_addresses(
    listen: ListenSettings,
    key_prefix: str,
) -> dict[str, Address]:
    """Addresses that are set, by listener name.

    :param key_prefix: prefix of the settings keys, such as ``advertise_`` or an
        empty string.
    """
    settings_by_name = {
        name: getattr(listen, f'{key_prefix}{name}') for name in _LISTENERS
    }
    return {
        name: parse_address(address)
        for name, address in settings_by_name.items()
        if address is not None
    }


def _find_shared_addresses(listen: ListenSettings) -> list[Fault]:
    pairs = combinations(_collect_addresses(listen, '').items(), 2)
    return [
        Fault(
            key=f'listen.{name}',
            found=f'"{address}"',
            expected=f'a port that listen.{other} does not use',
        )
        for (other, other_address), (name, address) in pairs
        if address.overlaps(other_address)
    ]


def _find_unreachable_addresses(listen: ListenSettings) -> list[Fault]:
    """Find addresses that other daemons would get but could not reach."""
    advertised = _collect_addresses(listen, 'advertise_')
    missing = [
        Fault(
            key=f'listen.advertise_{name}',
            expected=(
                'the address that others reach, since '
                f'listen.{name} = "{address}" is every interface'
            ),
        )
        for name, address in _collect_addresses(listen, '').items()
        if address.is_wildcard and name not in advertised
    ]
    unusable = [
        Fault(
            key=f'listen.advertise_{name}',
            found=f'"{address}"',
            expected='one IP number and a port above 0',
        )
        for name, address in advertised.items()
        if address.is_wildcard or address.port == 0
    ]
    return [*missing, *unusable]


def _find_unreachable_loopback(settings: Settings) -> list[Fault]:
    """Find a loopback control address in a mesh with remote seeds."""
    advertised = parse_address(settings.listen.advertised_control)
    seeds = map(parse_address, settings.mesh.seeds)
    remote = next((seed for seed in seeds if not seed.is_loopback), None)
    if remote is None or not advertised.is_loopback:
        return []
    return [
        Fault(
            key='listen.control',
            found=f'"{advertised}"',
            expected=(
                f'an address that the seed {remote} can reach, '
                'or listen.advertise_control'
            ),
        ),
    ]


def _find_value_conflicts(settings: Settings) -> list[Fault]:
    faults = []
    calls = settings.calls
    if calls.shutdown_timeout <= calls.queue_timeout:
        # A graceful shutdown would cut off calls that still wait for a slot.
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
        # Anyone who can reach the admin address could partition the mesh.
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
