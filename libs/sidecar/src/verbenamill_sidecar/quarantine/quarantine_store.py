"""Saves blocked requests in the store."""

from collections.abc import Iterable

from returns.result import Success

from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.quarantine import Quarantine, Suspect
from verbenamill_sidecar.protocol import Store


class QuarantineStore:
    """The quarantine as it is in the store, as far as this daemon knows.

    Suspicions without a block aren't saved: if the whole fleet restarts after
    two crashes, one more crash is needed for the block.
    """

    def __init__(self, store: Store, quarantine: Quarantine) -> None:
        self._store = store
        self._quarantine = quarantine
        self._saved: dict[Fingerprint, Suspect] = {}

    def mark_saved(self, suspects: Iterable[Suspect]) -> None:
        """Record which suspects were read from the store."""
        self._saved = {one.fingerprint: one for one in suspects}

    async def save(self) -> None:
        """Write all changes; changes that fail are written the next time."""
        changed = [
            one
            for one in self._quarantine.blocked
            if self._saved.get(one.fingerprint) != one
        ]
        forgotten = [one for one in self._saved if self._is_unblocked(one)]
        if not changed and not forgotten:
            return
        result = await self._store.save_suspects(changed, forgotten=forgotten)
        if not isinstance(result, Success):
            return
        self._saved |= {one.fingerprint: one for one in changed}
        for fingerprint in forgotten:
            self._saved.pop(fingerprint, None)

    def _is_unblocked(self, fingerprint: Fingerprint) -> bool:
        suspect = self._quarantine.get(fingerprint)
        return suspect is None or not suspect.is_blocked
