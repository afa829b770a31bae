import pytest

from orioleloom import dispatch
from orioleloom.dispatch import _locality
from orioleloom.platform import _settings


@pytest.mark.parametrize(
    'bounds, factor', [('{remoteFactor: 3}', 3.0), ('{}', 1.0)]
)
def test_remote_factor_is_read_from_the_bounds(tmp_path, bounds, factor):
    """Guards against a site whose far runs are taken for slow workers."""
    path = tmp_path / 'settings.yaml'
    path.write_text(
        'nodeName: e1\nip: 127.0.0.1\nzone: dc1\nlisten: {}\n'
        'internalPorts: [7000, 7010]\nplatform: {address: "127.0.0.1:1"}\n'
        f'bounds: {bounds}\n'
    )
    settings = _settings.load({_settings.PATH_VARIABLE: str(path)})
    assert settings.bounds.remote_factor == factor


def test_factor_below_one_counts_as_one():
    """Guards against a crash of the leader at the first end of a far run."""
    settings = dispatch.Settings(remote_factor=0.0)
    assert _locality.Locality(settings.remote_factor).remote_factor == 1.0
