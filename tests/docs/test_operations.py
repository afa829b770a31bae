"""Compares the lines of the operations page with the code."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
PACKAGES = ('dispatch', 'node', 'platform')
LOG_CALL = re.compile(
    r"(?:_log|log)\.?(?:log)?\(\s*'([a-z_]+)'|message_type='([a-z_]+)'"
    r"|'message_type': '([a-z_]+)'"
)


def log_names():
    names = set()
    for package in PACKAGES:
        for path in (ROOT / 'src' / 'orioleloom' / package).glob('*.py'):
            for groups in LOG_CALL.findall(path.read_text()):
                names.update(name for name in groups if name)
    return names


def test_every_line_is_explained():
    """An engineer on call must find each line on the page."""
    names = log_names()
    assert {'job_ended', 'leading', 'store_lost', 'stopping'} <= names
    missing = {name for name in names if f'`{name}`' not in PAGE}
    assert not missing


def test_no_line_is_explained_that_is_never_written():
    table = PAGE.split('| line | when |')[1].split('\n\n')[0]
    explained = {
        name
        for row in table.splitlines()[2:]
        for name in re.findall(r'`([a-z_]+)`', row.split('|')[1])
    }
    assert explained <= log_names()
