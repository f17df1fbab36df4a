"""Addresses of daemons on a stream of the system's own.

Seeds in the settings age: every daemon they name may be replaced. Each
availability zone keeps fresh addresses on the log, and a daemon that finds
no peer looks there.
"""

from random import Random

import msgspec
import trio
from msgspec import Struct
from returns.result import Failure

from verbenamill_mesh.exchange import Meet
from verbenamill_mesh.members import Members
from verbenamill_mesh.newest_records import read_newest_records
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_runtime.streams import GATEWAYS_STREAM
from verbenamill_model import Entry
from verbenamill_model.typing import AvailabilityZone
from verbenamill_runtime import Log
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Newest records looked at: each availability zone writes one an interval.
LOOK_BACK = 64
#: Unknown addresses tried an interval; most are of daemons long replaced.
MAX_MEETINGS = 5
#: Addresses in one record.
MAX_ADDRESSES = 5


class GatewaysRecord(Struct, frozen=True):
    """Where an availability zone is reached."""

    availability_zone: AvailabilityZone
    addresses: tuple[str, ...]


_decoder = msgspec.json.Decoder(GatewaysRecord)


class AddressBook:
    """Writes the addresses of the own availability zone and reads others."""

    def __init__(
        self,
        *,
        platform_log: Log,
        members: Members,
        peers: Peers,
        meet: Meet,
        settings: MeshSettings,
        random: Random,
        stats: MeshStats,
    ) -> None:
        self._log = platform_log
        self._members = members
        self._peers = peers
        self._meet = meet
        self._settings = settings
        self._random = random
        self._stats = stats

    async def run(self) -> None:
        """Write addresses, and meet unknown zones, until cancelled."""
        interval = self._settings.gateways_interval.total_seconds()
        # The first record of a new mesh comes early, since daemons with
        # stale seeds wait for it.
        pause = min(interval, self._settings.lonely_after.total_seconds())
        while True:
            await trio.sleep(pause * self._random.uniform(0.5, 1.5))
            if self._peers.is_primary:
                await self._write()
                await self._meet_unknown()
                pause = interval

    async def find_addresses(self) -> tuple[str, ...]:
        """Addresses that were written lately, in no order."""
        records = await self._read()
        found = (address for record in records for address in record.addresses)
        return tuple(dict.fromkeys(found))

    async def _write(self) -> None:
        own = self._peers.own_member
        mates = list(self._members.in_zone(own.availability_zone).values())
        some = self._random.sample(mates, min(len(mates), MAX_ADDRESSES - 1))
        addresses = dict.fromkeys(
            (own.control, *(member.control for member in some)),
        )
        record = GatewaysRecord(own.availability_zone, tuple(addresses))
        self._stats.count_log_request(GATEWAYS_STREAM)
        outcome = await self._log.append(
            GATEWAYS_STREAM,
            msgspec.json.encode(record),
        )
        if isinstance(outcome, Failure):
            # A record that stands twice, or an interval late, does no harm.
            log(Event.LOG_UNAVAILABLE, detail=outcome.failure().detail)

    async def _meet_unknown(self) -> None:
        """Meet daemons that no seed and no peer has told of.

        Daemons that started while an availability zone was cut in two find
        each other, but not those on the far side, and none of the seeds is
        left. Without this, both would live on as islands for ever.
        """
        alive = self._members.alive().values()
        known = {member.control for member in alive}
        written = await self.find_addresses()
        unknown = [address for address in written if address not in known]
        count = min(len(unknown), MAX_MEETINGS)
        for address in self._random.sample(unknown, count):
            await self._meet(address)

    async def _read(self) -> list[GatewaysRecord]:
        self._stats.count_log_request(GATEWAYS_STREAM)
        outcome = await read_newest_records(
            self._log, GATEWAYS_STREAM, LOOK_BACK
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
