"""Who decides, and who reports when."""

from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import UpstreamState
from verbenamill_moves import SendReport, is_report_due
from verbenamill_moves.decider_selection import MAX_REPORTS_PER_PERIOD


def make_owners(count):
    upstream = Upstream(
        service='entries',
        version='v1',
        state=UpstreamState.READY,
        slots=16,
        connections=130,
    )
    return {
        f'vm-{number}': Member(
            id=f'vm-{number}',
            availability_zone='az-1',
            region='r',
            control='',
            calls='',
            incarnation=1,
            upstream=upstream,
        )
        for number in range(count)
    }


def test_many_owners_take_turns_and_none_is_left_out():
    """A service has 50 upstreams in a zone and moves.

    All reports meet at one decider; sent in each period they would take it
    far over its bytes a second, and one that never came would hide a bad
    upstream.
    """
    owners = make_owners(50)
    heard = []
    for period in range(9):
        senders = [
            vm
            for vm in owners
            if is_report_due(vm, 'az-1', owners, period=period)
        ]
        assert len(senders) <= MAX_REPORTS_PER_PERIOD
        heard.extend(senders)
    assert sorted(heard) == sorted(owners)


def test_few_owners_report_in_each_period():
    owners = make_owners(6)
    assert all(is_report_due(vm, 'az-1', owners, period=3) for vm in owners)
    assert not is_report_due('vm-9', 'az-1', owners, period=3)


def test_each_of_many_zones_hears_the_sums_in_turn(fleet):
    """A service has upstreams in nine zones, as many decide.

    Each tells only a few others at a step; a zone whose turn never came
    would judge a rare version by its own few calls alone.
    """
    moved = fleet(zones=tuple('abcdefghi'))
    heard = {}
    step = {vm: decider.step for vm, decider in moved.deciders.items()}

    def spy(vm):
        def listen(**known):
            actions = step[vm](**known)
            sent = [
                one.recipient for one in actions if isinstance(one, SendReport)
            ]
            assert len(sent) <= 3
            heard.setdefault(vm, set()).update(to[0] for to in sent)
            return actions

        return listen

    for vm, decider in moved.deciders.items():
        decider.step = spy(vm)
    moved.run(5)
    chosen = {vm: zones for vm, zones in heard.items() if zones}
    assert len(chosen) == 9
    for vm, zones in chosen.items():
        assert zones == set('abcdefghi') - {vm[0]}
