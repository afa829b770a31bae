import hypothesis
from hypothesis import strategies as st
import pytest

from orioleloom import contracts
from orioleloom import errors
from orioleloom import model

contract = st.builds(
    model.Contract,
    customer=st.sampled_from('abc'),
    version=st.integers(1, 20),
    in_flight=st.integers(0, 9),
    starts_per_s=st.floats(0, 1e6),
    burst=st.integers(0, 9),
    upstreams=st.tuples(st.text()),
    weight=st.floats(0.1, 10),
    deadline_ms=st.floats(1, 1e6),
    max_queued_tasks=st.integers(0, 9),
)


@hypothesis.given(st.lists(st.lists(contract, max_size=5), max_size=6))
def test_versions_never_go_back(batches):
    # Guards R8: a customer never goes back to an older version, in any
    # order of arrival, and two books agree after one has received what
    # it lacks from the other.
    book, other = contracts.ContractBook(), contracts.ContractBook()
    for batch in batches:
        before = book.versions()
        changed = book.apply(batch)
        after = book.versions()
        for name, version in before.items():
            assert after[name] >= version
        assert {one.customer for one in changed} == {
            name for name in after if after[name] != before.get(name)
        }
        assert all(book.get(one.customer) == one for one in changed)
        other.apply(batch[:2])
    other.apply(book.newer_than(other.versions()))
    assert other.versions() == book.versions()
    assert book.newer_than(other.versions()) == []


@hypothesis.given(contract)
def test_row_round_trip(one):
    assert contracts.from_value(contracts.to_value(one)) == one


@pytest.mark.parametrize(
    'change',
    [
        {'customer': ''},
        {'version': 0},
        {'version': '1'},
        {'in_flight': -1},
        {'in_flight': 1.5},
        {'starts_per_s': float('nan')},
        {'starts_per_s': float('inf')},
        {'burst': None},
        {'upstreams': 'gpu'},
        {'upstreams': [1]},
        {'weight': 0},
        {'weight': float('inf')},
        {'deadline_ms': float('inf')},
        {'closed': 'no'},
    ],
)
def test_malformed_row_is_refused(change):
    # Guards R16: a malformed row must not come into force.
    value = contracts.to_value(model.Contract('a', 1, 1, 1.0, 1, ('gpu',)))
    assert contracts.from_value(value | {'added_later': 1}).version == 1
    with pytest.raises(errors.DispatchError) as caught:
        contracts.from_value(value | change)
    assert caught.value.kind is errors.ErrorKind.BAD_FIELD
    for wrong in ({}, None, [], 'text'):
        with pytest.raises(errors.DispatchError):
            contracts.from_value(wrong)


def test_history_keys_sort_by_version():
    # Guards the history scan, which returns versions in key order.
    keys = [contracts.history_key('a', version) for version in (2, 10, 999)]
    assert keys == sorted(keys)
