"""Shares that are delegated to a pool, and what they earn over time."""

from msgspec import Struct

from verbenamill_model.typing import VmId


class _Delegation(Struct):
    share: float
    until: float


class Delegations:
    """Shares that are delegated to one pool.

    :ivar total: sum of the shares in force.
    :ivar earned: integral of this sum over time, in seconds. Multiplied by the
        rate of a quota, it is the number of tokens that the pool has earned.
    """

    def __init__(self) -> None:
        self.total = float(0)
        self.earned = float(0)
        self._by_vm: dict[VmId, _Delegation] = {}
        self._at = float('-inf')
        self._next_expiry = float('inf')

    def __contains__(self, vm: VmId) -> bool:
        return vm in self._by_vm

    def __len__(self) -> int:
        return len(self._by_vm)

    def put(self, vm: VmId, share: float, until: float, now: float) -> None:
        """Add or renew the delegation of a daemon's share."""
        self.advance(now)
        self._by_vm[vm] = _Delegation(share, until)
        self._refresh()

    def remove(self, vm: VmId, now: float) -> None:
        """End the delegation of a daemon's share, if there is one."""
        self.advance(now)
        if self._by_vm.pop(vm, None) is not None:
            self._refresh()

    def clear(self, now: float) -> None:
        """End all delegations."""
        self.advance(now)
        self._by_vm.clear()
        self._refresh()

    def advance(self, now: float) -> list[VmId]:
        """Add what was earned until now; return whose delegations expired.

        A share earns until the end of its delegation and not until the time
        of this call, which may be much later if the process was stopped.
        """
        since = self._at
        if now <= since:
            return []
        self._at = now
        if now < self._next_expiry:
            if self.total:
                self.earned += self.total * (now - since)
            return []
        expired: list[VmId] = []
        for vm, one in list(self._by_vm.items()):
            self.earned += one.share * (min(now, one.until) - since)
            if one.until <= now:
                self._by_vm.pop(vm)
                expired.append(vm)
        self._refresh()
        return expired

    def _refresh(self) -> None:
        delegations = self._by_vm.values()
        # A fleet has one share in total; rounding errors must not exceed it.
        self.total = min(sum(one.share for one in delegations), float(1))
        self._next_expiry = min(
            (one.until for one in delegations), default=float('inf')
        )
