"""Tests which daemon decides, and which owners report in which period."""

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
    """A service with 50 upstreams in one zone has a running move.

    All owners report to the same decider. If each reported in every period,
    the decider would far exceed its bytes per second; if an owner never
    reported, a bad upstream could stay hidden.
    """
    owners = make_owners(50)
    reported = []
    for period in range(9):
        senders = [
            vm
            for vm in owners
            if is_report_due(vm, 'az-1', owners, period=period)
        ]
        assert len(senders) <= MAX_REPORTS_PER_PERIOD
        reported.extend(senders)
    assert sorted(reported) == sorted(owners)


def test_few_owners_report_in_each_period():
    owners = make_owners(6)
    assert all(is_report_due(vm, 'az-1', owners, period=3) for vm in owners)
    assert not is_report_due('vm-9', 'az-1', owners, period=3)


def test_sums_reach_each_of_many_zones_in_turn(make_fleet):
    """A service has upstreams in nine zones, each with a decider.

    Each decider sends its sums to only a few zones at a step. A zone that
    never received any would judge a version by its own few calls alone.
    """
    fleet = make_fleet(zones=tuple('abcdefghi'))
    recipients = {}
    original_step = {vm: decider.step for vm, decider in fleet.deciders.items()}

    def record_recipients(vm):
        def step_and_record(**arguments):
            actions = original_step[vm](**arguments)
            sent = [
                action.recipient
                for action in actions
                if isinstance(action, SendReport)
            ]
            assert len(sent) <= 3
            recipients.setdefault(vm, set()).update(vm_id[0] for vm_id in sent)
            return actions

        return step_and_record

    for vm, decider in fleet.deciders.items():
        decider.step = record_recipients(vm)
    fleet.run(5)
    deciders = {vm: zones for vm, zones in recipients.items() if zones}
    assert len(deciders) == 9
    for vm, zones in deciders.items():
        assert zones == set('abcdefghi') - {vm[0]}
