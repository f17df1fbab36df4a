"""Keeps in the store which requests are blocked."""

from collections.abc import Iterable

from returns.result import Success

from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.quarantine import Quarantine, Suspect
from verbenamill_sidecar.protocol import Store


class QuarantineStore:
    """What the store has of the quarantine, as far as this daemon knows.

    Suspicions that block nothing are not kept: a fleet that starts anew after
    two crashes pays for one more.
    """

    def __init__(self, store: Store, quarantine: Quarantine) -> None:
        self._store = store
        self._quarantine = quarantine
        self._saved: dict[Fingerprint, Suspect] = {}

    def mark_saved(self, suspects: Iterable[Suspect]) -> None:
        """Take in what was read."""
        self._saved = {one.fingerprint: one for one in suspects}

    async def save(self) -> None:
        """Write what has changed; what fails is written the next time."""
        changed = [
            one
            for one in self._quarantine.blocked
            if self._saved.get(one.fingerprint) != one
        ]
        forgotten = [one for one in self._saved if self._is_over(one)]
        if not changed and not forgotten:
            return
        result = await self._store.save_suspects(changed, forgotten=forgotten)
        if not isinstance(result, Success):
            return
        self._saved |= {one.fingerprint: one for one in changed}
        for fingerprint in forgotten:
            self._saved.pop(fingerprint, None)

    def _is_over(self, fingerprint: Fingerprint) -> bool:
        known = self._quarantine.get(fingerprint)
        return known is None or not known.is_blocked
