import pytest

from tests.processes import support


@pytest.fixture(scope='module')
def fleet():
    """A platform, four workers and three entry instances."""
    with support.running() as started:
        yield started
