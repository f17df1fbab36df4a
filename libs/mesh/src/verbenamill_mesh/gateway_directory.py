"""Addresses of daemons on an internal stream of the log.

Seeds in the settings become stale, since every daemon they name may be
replaced. Each availability zone keeps current addresses on the log, and a
daemon that finds no peer reads them there.
"""

from random import Random

import msgspec
import trio
from msgspec import Struct
from returns.result import Failure

from verbenamill_mesh.members import Members
from verbenamill_mesh.newest_records import read_newest_records
from verbenamill_mesh.peer_sync import ProbePeer
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_model import Entry
from verbenamill_model.typing import AvailabilityZone
from verbenamill_runtime import Log
from verbenamill_runtime.streams import GATEWAYS_STREAM
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Newest records read; each availability zone writes one per interval.
NEWEST_RECORDS = 64
#: Unknown addresses probed per interval; most are of replaced daemons.
MAX_PROBED_ADDRESSES = 5
#: Addresses in one record.
MAX_ADDRESSES = 5


class GatewaysRecord(Struct, frozen=True):
    """Addresses at which an availability zone is reached."""

    availability_zone: AvailabilityZone
    addresses: tuple[str, ...]


_decoder = msgspec.json.Decoder(GatewaysRecord)


class GatewayDirectory:
    """Writes addresses of the own availability zone and reads all zones'."""

    def __init__(
        self,
        *,
        platform_log: Log,
        members: Members,
        peers: Peers,
        probe_peer: ProbePeer,
        settings: MeshSettings,
        random: Random,
        stats: MeshStats,
    ) -> None:
        self._log = platform_log
        self._members = members
        self._peers = peers
        self._probe_peer = probe_peer
        self._settings = settings
        self._random = random
        self._stats = stats

    async def run(self) -> None:
        """Write addresses and probe unknown ones, until cancelled."""
        interval = self._settings.gateways_interval.total_seconds()
        # The first record of a new mesh is written early, because daemons with
        # stale seeds wait for it.
        pause = min(interval, self._settings.isolation_timeout.total_seconds())
        while True:
            await trio.sleep(pause * self._random.uniform(0.5, 1.5))
            if self._peers.is_primary:
                await self._write_addresses()
                await self._probe_unknown_addresses()
                pause = interval

    async def find_addresses(self) -> tuple[str, ...]:
        """Recently written addresses, without duplicates."""
        records = await self._read_records()
        found = (address for record in records for address in record.addresses)
        return tuple(dict.fromkeys(found))

    async def _write_addresses(self) -> None:
        own = self._peers.own_member
        zone_peers = list(self._members.in_zone(own.availability_zone).values())
        sampled = self._random.sample(
            zone_peers, min(len(zone_peers), MAX_ADDRESSES - 1)
        )
        addresses = dict.fromkeys(
            (own.control, *(member.control for member in sampled)),
        )
        record = GatewaysRecord(own.availability_zone, tuple(addresses))
        self._stats.count_log_request(GATEWAYS_STREAM)
        outcome = await self._log.append(
            GATEWAYS_STREAM,
            msgspec.json.encode(record),
        )
        if isinstance(outcome, Failure):
            # A record that is written twice, or one interval late, does no
            # harm.
            log(Event.LOG_UNAVAILABLE, detail=outcome.failure().detail)

    async def _probe_unknown_addresses(self) -> None:
        """Probe recorded addresses that no seed or peer has provided.

        Daemons started while an availability zone was partitioned find each
        other, but not those on the other side if none of the seeds is left.
        Without these probes the two groups would never join.
        """
        alive = self._members.alive().values()
        known_addresses = {member.control for member in alive}
        recorded = await self.find_addresses()
        unknown = [
            address for address in recorded if address not in known_addresses
        ]
        count = min(len(unknown), MAX_PROBED_ADDRESSES)
        for address in self._random.sample(unknown, count):
            await self._probe_peer(address)

    async def _read_records(self) -> list[GatewaysRecord]:
        self._stats.count_log_request(GATEWAYS_STREAM)
        outcome = await read_newest_records(
            self._log, GATEWAYS_STREAM, NEWEST_RECORDS
        )
        if isinstance(outcome, Failure):
            return []
        read = map(_decode, outcome.unwrap())
        return [record for record in read if record is not None]


def _decode(entry: Entry) -> GatewaysRecord | None:
    try:
        return _decoder.decode(entry.body)
    except msgspec.MsgspecError:
        log(Event.MESSAGE_UNKNOWN, kind=f'{GATEWAYS_STREAM} {entry.offset}')
        return None
