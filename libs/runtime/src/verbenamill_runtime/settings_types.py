"""Structs of the settings file, one for each section."""

from datetime import timedelta
from typing import Annotated

from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, Region, VmId
from verbenamill_runtime.settings_fields import (
    SocketAddresses,
    Flag,
    HttpUrl,
    Name,
    SocketAddress,
    one_of,
    duration_in_range,
    integer_in_range,
)
from verbenamill_telemetry.log_settings import LogFormat, LogLevel


class VmSettings(Struct, frozen=True, kw_only=True):
    """Identity and location of the VM on which the daemon runs."""

    id: Annotated[VmId, Name]
    availability_zone: Annotated[AvailabilityZone, Name]
    region: Annotated[Region, Name]


class ListenSettings(Struct, frozen=True, kw_only=True):
    """Addresses that the daemon listens on and advertises to others.

    :param advertise_calls: address for calls that other daemons connect to,
        if it differs from ``calls``; the other two work alike.
    """

    calls: Annotated[str, SocketAddress]
    control: Annotated[str, SocketAddress]
    admin: Annotated[str, SocketAddress]
    advertise_calls: Annotated[str | None, SocketAddress] = None
    advertise_control: Annotated[str | None, SocketAddress] = None
    advertise_admin: Annotated[str | None, SocketAddress] = None

    @property
    def advertised_calls(self) -> str:
        """Address for calls that the daemon advertises to others."""
        return self.advertise_calls or self.calls

    @property
    def advertised_control(self) -> str:
        """Address for mesh links that the daemon advertises to others."""
        return self.advertise_control or self.control

    @property
    def advertised_admin(self) -> str:
        """Address of the admin API that the daemon advertises to others."""
        return self.advertise_admin or self.admin


class LogServiceSettings(Struct, frozen=True, kw_only=True):
    """Location of the platform's log service."""

    url: Annotated[str, HttpUrl]


class MeshSettings(Struct, frozen=True, kw_only=True):
    """How the daemon discovers the other daemons.

    :param seeds: control addresses that the daemon contacts first; empty
        for the first daemon of a mesh.
    """

    seeds: Annotated[tuple[str, ...], SocketAddresses] = ()


class CallLimits(Struct, frozen=True, kw_only=True):
    """Limits on the resources that the daemon uses for calls.

    :param max_body_bytes: size limit of a request body.
    :param max_connections: limit of open connections from callers and
        daemons.
    :param queue_factor: calls that may wait for each slot of the upstream.
    :param queue_timeout: time limit of this wait, after which the call is
        shed.
    :param remembered_requests: number of finished request ids that are kept.
    :param shutdown_timeout: time limit for calls to finish in a graceful
        shutdown.
    """

    max_body_bytes: Annotated[int, integer_in_range(1, 1 << 30)] = 64 << 20
    max_connections: Annotated[int, integer_in_range(1, 100_000)] = 2000
    queue_factor: Annotated[int, integer_in_range(0, 100)] = 4
    queue_timeout: Annotated[
        timedelta,
        duration_in_range(timedelta(milliseconds=1), timedelta(minutes=1)),
    ] = timedelta(milliseconds=250)
    remembered_requests: Annotated[int, integer_in_range(1, 1_000_000)] = 50_000
    shutdown_timeout: Annotated[
        timedelta,
        duration_in_range(timedelta(seconds=1), timedelta(minutes=10)),
    ] = timedelta(seconds=30)


class LoggingSettings(Struct, frozen=True, kw_only=True):
    """How log events are written."""

    level: Annotated[LogLevel, one_of(LogLevel)] = LogLevel.INFO
    format: Annotated[LogFormat, one_of(LogFormat)] = LogFormat.TEXT


class TestSettings(Struct, frozen=True, kw_only=True):
    """Switches that are for tests only."""

    switches: Annotated[bool, Flag] = False


class Settings(Struct, frozen=True, kw_only=True):
    """All settings of a daemon, with one field for each section."""

    vm: VmSettings
    listen: ListenSettings
    log: LogServiceSettings
    mesh: MeshSettings = MeshSettings()
    calls: CallLimits = CallLimits()
    logging: LoggingSettings = LoggingSettings()
    test: TestSettings = TestSettings()
