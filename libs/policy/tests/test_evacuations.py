"""Evacuations of zones, from records that are late, lost or repeated."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.evacuations import Evacuation, Evacuations

ZONES = ('z1', 'z2', 'z3')


class Log:
    """The operators' log, whose history may be deleted at any time."""

    def __init__(self):
        self.records = []

    def write(self, zone, *, is_active):
        record = Evacuation(zone, len(self.records), is_active)
        self.records.append(record)

    def listing(self):
        """Return the evacuations in force, and the end of the log."""
        newest = {record.zone: record for record in self.records}
        return [one for one in newest.values() if one.is_active], len(
            self.records
        )

    def evacuated(self):
        return {one.zone for one in self.listing()[0]}


def apply_listing(evacuations, listing):
    listed, end = listing
    for record in [*listed, *evacuations.find_ended(listed, end=end)]:
        evacuations.apply(record)


def merge(evacuations, records):
    for record in records:
        evacuations.apply(record)


writes = st.lists(
    st.tuples(st.sampled_from(ZONES), st.booleans()), min_size=1, max_size=12
)


@settings(derandomize=True, deadline=None)
@given(writes, st.data())
def test_late_and_repeated_news_lead_to_the_same_zones(written, data):
    """Guards against an old record that takes an evacuation back."""
    log = Log()
    listings = []
    for zone, is_active in written:
        log.write(zone, is_active=is_active)
        listings.append(log.listing())
    evacuations = Evacuations()
    for listing in data.draw(st.permutations(listings)):
        apply_listing(evacuations, listing)
    merge(evacuations, data.draw(st.permutations(log.records)))
    assert evacuations.zones == log.evacuated()


@settings(derandomize=True, deadline=None)
@given(writes, st.data())
def test_daemons_that_exchange_state_agree(written, data):
    """Guards against a restarted daemon that forgets an evacuation."""
    log = Log()
    daemons = [Evacuations(), Evacuations(), Evacuations()]
    for zone, is_active in written:
        log.write(zone, is_active=is_active)
        reader = data.draw(st.integers(0, 2))
        apply_listing(daemons[reader], log.listing())
        if data.draw(st.booleans()):
            daemons[data.draw(st.integers(0, 2))] = Evacuations()
    apply_listing(daemons[0], log.listing())
    for _ in range(2):
        for one in daemons:
            for other in daemons:
                merge(one, other.known)
    assert all(one.zones == log.evacuated() for one in daemons)


def test_a_removal_whose_record_has_expired_ends_the_evacuation():
    """Guards against an evacuation that stays in force for good."""
    log = Log()
    log.write('z1', is_active=True)
    evacuations = Evacuations()
    apply_listing(evacuations, log.listing())
    log.write('z1', is_active=False)
    apply_listing(evacuations, log.listing())
    assert not evacuations.zones


def test_a_stale_listing_does_not_end_an_evacuation():
    """Guards against a read from before the evacuation."""
    log = Log()
    log.write('z2', is_active=True)
    stale = log.listing()
    log.write('z1', is_active=True)
    evacuations = Evacuations()
    apply_listing(evacuations, log.listing())
    apply_listing(evacuations, stale)
    assert evacuations.zones == {'z1', 'z2'}


def test_an_evacuation_that_is_renewed_stays_in_force():
    """Guards against a removal that ends the evacuation after it."""
    evacuations = Evacuations()
    merge(evacuations, [Evacuation('z1', 7), Evacuation('z1', 5, False)])
    assert evacuations.zones == {'z1'}
