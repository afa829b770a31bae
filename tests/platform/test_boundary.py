"""The platform's names stay in its adapter."""

import ast
import pathlib
import re

import orioleloom

ROOT = pathlib.Path(orioleloom.__file__).parent
ADAPTER = ROOT / 'platform'
# Names on the wire that no other package has a use for.
WIRE_NAMES = (
    'endedRuns',
    'ackedThrough',
    'rows-tx',
    'rows-get',
    'rows-feed',
    'run-start',
    'run-stop',
    'bestEffort',
    'fencingToken',
    'expiresMs',
    'slackFactor',
    'pathPrefix',
    'X-Orioleloom',
    'readyz',
)


def other_files():
    return [path for path in ROOT.rglob('*.py') if ADAPTER not in path.parents]


def test_nothing_outside_imports_the_adapter():
    for path in other_files():
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.ImportFrom):
                names = [f'{node.module}.{a.name}' for a in node.names]
            elif isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            for name in names:
                assert not name.startswith('orioleloom.platform.'), path
                assert name != 'orioleloom.platform', path


def test_wire_names_stay_in_the_adapter():
    # The product's own HTTP interface has a readiness page of that name.
    own = {'readyz': ('entry', 'cli', 'client', 'load')}
    for path in other_files():
        text = path.read_text()
        package = path.relative_to(ROOT).parts[0]
        for name in WIRE_NAMES:
            if package in own.get(name, ()):
                continue
            assert not re.search(re.escape(name), text), (path, name)
