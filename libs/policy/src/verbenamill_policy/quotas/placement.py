"""Where the share of a daemon is: at a pool host, at its own pool, or nowhere.

A share is in one place at a time. A daemon that delegated its share counts it
as delegated for longer than the pool does, and places it elsewhere only after
that time, or once the pool has confirmed that it no longer counts it.
"""

from collections.abc import Callable, Sequence
from enum import Enum, unique

from verbenamill_model.typing import VmId

#: Time from the last report that delegates a share for which the sender counts
#: it as delegated, in seconds.
HOLD_TIME = 1.2
#: Reports without an answer after which a pool host is not waited for.
_MAX_UNANSWERED = 2
#: Shortest and longest time for which a host that did not answer is not asked
#: again, in seconds.
_MIN_AVOID_TIME = 1.0
_MAX_AVOID_TIME = 4.0


@unique
class Standing(Enum):
    """How a daemon gets tokens.

    ``DELEGATING``: its pool host answers.
    ``HOSTING``: it hosts the pool of its group.
    ``STANDALONE``: no pool host has answered yet, or any more.
    """

    DELEGATING = 'delegating'
    HOSTING = 'hosting'
    STANDALONE = 'standalone'


class SharePlacement:
    """Chooses the pool host of a daemon and tracks where its share is.

    :param started_at: when the process began. A share that its predecessor
        delegated may count for :data:`HOLD_TIME` from then on.
    :param is_suspect: whether a daemon appears to be unreachable.
    :ivar host: the pool host that is asked; ``None`` if there is none.
    :ivar candidate: a host that is preferred to it, once it answers.
    """

    def __init__(
        self,
        own: VmId,
        started_at: float,
        is_suspect: Callable[[VmId], bool],
    ) -> None:
        self.host: VmId | None = None
        self.candidate: VmId | None = None
        self._own = own
        self._is_suspect = is_suspect
        self._free_at = started_at + HOLD_TIME
        self._delegated_to: VmId | None = None
        self._delegated_number = -1
        self._released_numbers: set[int] = set()
        self._is_confirmed = False
        self._unanswered: dict[VmId, int] = {}
        self._avoided_until: dict[VmId, float] = {}
        self._avoid_times: dict[VmId, float] = {}

    @property
    def standing(self) -> Standing:
        """How the daemon gets tokens."""
        if self.host == self._own:
            return Standing.HOSTING
        if self._is_confirmed:
            return Standing.DELEGATING
        return Standing.STANDALONE

    @property
    def free_at(self) -> float:
        """Time from which on the share may be placed anywhere."""
        return self._free_at

    @property
    def holder(self) -> VmId | None:
        """Another daemon that may still count the share, if there is one."""
        return self._delegated_to

    def may_place(self, where: VmId, now: float) -> bool:
        """Whether the share may be placed at a daemon now."""
        if now >= self._free_at:
            return True
        return self._delegated_to == where

    def choose_host(self, order: Sequence[VmId], now: float) -> bool:
        """Choose the host to report to, and return whether it changed.

        :param order: daemons of the group, the preferred host first.
        """
        for vm, unanswered in list(self._unanswered.items()):
            if unanswered >= _MAX_UNANSWERED:
                self._avoid(vm, now)
        usable = [one for one in order if self._is_usable(one, now)]
        best = usable[0] if usable else None
        # A daemon that may be dead is tried beside the host that answers.
        keeps_host = self._is_confirmed and self.host in usable
        is_new = best != self.host and (not keeps_host or best == self._own)
        if is_new:
            self._set_host(best, is_confirmed=best == self._own)
        self.candidate = None if best == self.host else best
        if self.standing is not Standing.DELEGATING and order:
            # It may be back, or it was this daemon that was cut off.
            first = order[0]
            self.candidate = None if first == self.host else first
        return is_new

    def record_report(self, vm: VmId) -> None:
        """Record a report to the host or the candidate."""
        self._unanswered[vm] = self._unanswered.get(vm, 0) + 1

    def record_delegation(self, vm: VmId, number: int, now: float) -> None:
        """Record a report that delegates the share."""
        self._delegated_to = vm
        self._delegated_number = number
        self._released_numbers.clear()
        self._free_at = max(self._free_at, now + HOLD_TIME)

    def record_release(self, number: int) -> None:
        """Record a report that ends the delegation at the holder."""
        self._released_numbers.add(number)

    def record_answer(
        self, vm: VmId, number: int, *, accepted: bool, now: float
    ) -> bool:
        """Record an answer, and return whether a report is due at once."""
        if vm == self._delegated_to:
            is_released = number in self._released_numbers
            is_refused = not accepted and number >= self._delegated_number
            if is_released or is_refused:
                self._delegated_to = None
                self._free_at = now
        if not accepted:
            self._avoid(vm, now)
            return vm == self.host
        self._unanswered.pop(vm, None)
        self._avoid_times.pop(vm, None)
        self._avoided_until.pop(vm, None)
        if vm == self.candidate:
            self._set_host(vm, is_confirmed=True)
            return True
        was_confirmed = self._is_confirmed
        self._is_confirmed |= vm == self.host
        return self._is_confirmed and not was_confirmed

    def _set_host(self, vm: VmId | None, *, is_confirmed: bool) -> None:
        self.host = vm
        self.candidate = None
        self._is_confirmed = is_confirmed

    def _avoid(self, vm: VmId, now: float) -> None:
        self._unanswered.pop(vm, None)
        if vm == self._own:
            return
        pause = self._avoid_times.get(vm, _MIN_AVOID_TIME)
        self._avoided_until[vm] = now + pause
        self._avoid_times[vm] = min(2 * pause, _MAX_AVOID_TIME)

    def _is_usable(self, vm: VmId, now: float) -> bool:
        if vm == self._own:
            return True
        if self._avoided_until.get(vm, now) > now:
            return False
        return not self._is_suspect(vm)
