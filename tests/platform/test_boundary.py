"""Checks that only the adapter uses the platform's names."""

import ast
import pathlib
import re

import orioleloom

ROOT = pathlib.Path(orioleloom.__file__).parent
ADAPTER = ROOT / 'platform'
# Wire names that must not appear in other packages.
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


def test_other_packages_do_not_import_the_adapter():
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
    # orioleloom's own HTTP interface also has a /readyz endpoint.
    own = {'readyz': ('entry', 'cli', 'client', 'load')}
    for path in other_files():
        text = path.read_text()
        package = path.relative_to(ROOT).parts[0]
        for name in WIRE_NAMES:
            if package in own.get(name, ()):
                continue
            assert not re.search(re.escape(name), text), (path, name)
