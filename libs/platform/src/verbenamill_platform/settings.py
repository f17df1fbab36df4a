"""Settings of a daemon, read from TOML and checked whole.

They live here, below the daemon, because the command-line tool checks a
file with the same code that the daemon starts with.
"""

import tomllib
from collections.abc import Mapping
from datetime import timedelta
from enum import Enum, unique
from itertools import combinations
from pathlib import Path
from typing import Annotated, Any

from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_model.faults import Fault
from verbenamill_model.typing import AvailabilityZone, Region, VmId
from verbenamill_platform.addresses import Address, parse_address
from verbenamill_platform.settings_fields import (
    Addresses,
    Flag,
    HttpUrl,
    Name,
    OneAddress,
    as_choice,
    as_duration,
    as_integer,
)
from verbenamill_platform.settings_reader import read_sections


@unique
class LogLevel(str, Enum):
    """Least severe events that are written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@unique
class LogFormat(str, Enum):
    """Form of a written event."""

    TEXT = 'text'
    JSON = 'json'


class VmSettings(Struct, frozen=True, kw_only=True):
    """Who this daemon is."""

    id: Annotated[VmId, Name]
    availability_zone: Annotated[AvailabilityZone, Name]
    region: Annotated[Region, Name]


class ListenSettings(Struct, frozen=True, kw_only=True):
    """Where the daemon listens, and what it tells others to connect to.

    :param advertise_calls: where it differs from ``calls``; likewise the
        other two.
    """

    calls: Annotated[str, OneAddress]
    control: Annotated[str, OneAddress]
    admin: Annotated[str, OneAddress]
    advertise_calls: Annotated[str | None, OneAddress] = None
    advertise_control: Annotated[str | None, OneAddress] = None
    advertise_admin: Annotated[str | None, OneAddress] = None

    @property
    def told_calls(self) -> str:
        """Address for calls that the other daemons are told."""
        return self.advertise_calls or self.calls

    @property
    def told_control(self) -> str:
        """Address for links that the other daemons are told."""
        return self.advertise_control or self.control

    @property
    def told_admin(self) -> str:
        """Address of the admin API that the others are told."""
        return self.advertise_admin or self.admin


class LogServiceSettings(Struct, frozen=True, kw_only=True):
    """Where the platform's log service is."""

    url: Annotated[str, HttpUrl]


class MeshSettings(Struct, frozen=True, kw_only=True):
    """How the daemon finds the others.

    :param seeds: control addresses that are tried first; empty for the
        first daemon.
    """

    seeds: Annotated[tuple[str, ...], Addresses] = ()


class CallLimits(Struct, frozen=True, kw_only=True):
    """Bounds of what the daemon holds for callers.

    :param max_body_bytes: longest request body that is taken.
    :param max_connections: open connections from callers and daemons.
    :param queue_factor: calls that may wait for each slot of the upstream.
    :param queue_timeout: longest such wait before the call is shed.
    :param remembered_requests: finished request ids that are kept.
    :param shutdown_timeout: longest a graceful stop waits for calls.
    """

    max_body_bytes: Annotated[int, as_integer(1, 1 << 30)] = 64 << 20
    max_connections: Annotated[int, as_integer(1, 100_000)] = 2000
    queue_factor: Annotated[int, as_integer(0, 100)] = 4
    queue_timeout: Annotated[
        timedelta,
        as_duration(timedelta(milliseconds=1), timedelta(minutes=1)),
    ] = timedelta(milliseconds=250)
    remembered_requests: Annotated[int, as_integer(1, 1_000_000)] = 50_000
    shutdown_timeout: Annotated[
        timedelta,
        as_duration(timedelta(seconds=1), timedelta(minutes=10)),
    ] = timedelta(seconds=30)


class LoggingSettings(Struct, frozen=True, kw_only=True):
    """How events are written."""

    level: Annotated[LogLevel, as_choice(LogLevel)] = LogLevel.INFO
    format: Annotated[LogFormat, as_choice(LogFormat)] = LogFormat.TEXT


class TestSettings(Struct, frozen=True, kw_only=True):
    """Switches that only tests may have."""

    switches: Annotated[bool, Flag] = False


class Settings(Struct, frozen=True, kw_only=True):
    """All settings of a daemon; one field a section of the file."""

    vm: VmSettings
    listen: ListenSettings
    log: LogServiceSettings
    mesh: MeshSettings = MeshSettings()
    calls: CallLimits = CallLimits()
    logging: LoggingSettings = LoggingSettings()
    test: TestSettings = TestSettings()


def load_settings(path: Path) -> Result[Settings, tuple[str, ...]]:
    """Read a settings file.

    :returns: the settings, or every fault as one line with its key, the
        value that was found and what was expected.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((f'the file cannot be read: {error}',))
    return check_settings(text).alt(
        lambda faults: tuple(str(fault) for fault in faults),
    )


def check_settings(
    text: str,
) -> Result[Settings, tuple[Fault, ...]]:
    """Check the text of a settings file whole.

    :returns: the settings, or every fault.
    """
    try:
        document: Mapping[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = Fault(key='', expected=f'TOML: {error}')
        return Failure((fault,))
    sections, faults = read_sections(Settings, document)
    if faults:
        return Failure(faults)
    settings = Settings(**sections)
    clashes = (
        *_find_shared_addresses(settings.listen),
        *_find_unreachable(settings.listen),
        *_find_loopback(settings),
        *_find_contradictions(settings),
    )
    return Failure(clashes) if clashes else Success(settings)


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
