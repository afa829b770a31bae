"""Compares the lists of the operators' page with the code."""

import pathlib
import re

import pytest

from orioleloom.cli import _exit
from orioleloom.entry import _settings
from orioleloom import errors
from orioleloom import model
from orioleloom.model import _answers
from orioleloom.peer_api import _socket

ROOT = pathlib.Path(__file__).parents[2]
SOURCE = ROOT / 'src' / 'orioleloom'
PAGE = (ROOT / 'docs' / 'operators.md').read_text(encoding='utf-8')

# Counters with a computed name, and the names that they can have. The
# page has one row for all refusals.
COMPUTED = {
    'refused_{error.kind.value}': ['refused_<kind>'],
    'jobs_{job.answer.body["state"]}': ['jobs_complete', 'jobs_failed'],
}


def section(title: str) -> dict[str, list[str]]:
    """Return the cells of a section's table rows by their first cell."""
    found = re.search(
        rf'^## {re.escape(title)}\n(.*?)(?=^## |\Z)', PAGE, re.M | re.S
    )
    assert found, f'the page has no section {title!r}'
    rows: dict[str, list[str]] = {}
    for line in found[1].splitlines():
        if line.startswith('| ') and not line.startswith('| ---'):
            cells = [cell.strip() for cell in line.strip('| ').split(' | ')]
            assert cells[0] not in rows, f'{cells[0]} is listed twice'
            rows[cells[0]] = cells
    return dict(list(rows.items())[1:])


def metric_names() -> set[str]:
    """Return the names that the code can serve."""
    names = {'orioleloom_ready'}
    for path in (SOURCE / 'engine').glob('*.py'):
        text = path.read_text(encoding='utf-8')
        for name in re.findall(r"counters\[\s*'([^']+)'\s*\]", text):
            names.add(f'orioleloom_engine_{name}_total')
        for template in re.findall(r"counters\[\s*f'([^']+)'\s*\]", text):
            for name in COMPUTED[template]:
                names.add(f'orioleloom_engine_{name}_total')
        added = re.search(r'\*\*core\.counters,(.*?)\}', text, re.S)
        if added:
            for name in re.findall(r"'(\w+)':", added[1]):
                names.add(f'orioleloom_engine_{name}_total')
    runner = (SOURCE / 'entry' / '_runner.py').read_text(encoding='utf-8')
    found = re.search(r'self\.counters = \{(.*?)\}', runner, re.S)
    assert found
    for name in re.findall(r"'(\w+)':", found[1]):
        names.add(f'orioleloom_edge_{name}_total')
    for name in _socket.PeerCounters.__slots__:
        names.add(f'orioleloom_peer_{name}_total')
    return names


def shown_default(name: str) -> str:
    if name not in _settings.Settings._field_defaults:
        return 'required'
    default = _settings.Settings._field_defaults[name]
    return 'empty' if default == '' else str(default)


def test_page_lists_exactly_the_settings():
    # Guards against a setting that is added, renamed or removed in the
    # code only.
    flags = {
        f'`--{name.replace("_", "-")}`' for name in _settings.Settings._fields
    }
    assert set(section('Start an instance')) == flags


@pytest.mark.parametrize('name', _settings.Settings._fields)
def test_row_of_a_setting_agrees_with_the_code(name):
    # Guards against a variable, range, default or meaning that the code
    # no longer has.
    flag = f'`--{name.replace("_", "-")}`'
    cells = section('Start an instance')[flag]
    _, variable, unit, accepted, default, meaning = cells
    assert variable == f'`{_settings.ENVIRONMENT_PREFIX}{name.upper()}`'
    assert default == shown_default(name)
    assert meaning == _settings._HELP[name]
    constraint = _settings._CONSTRAINTS.get(name)
    if constraint is not None:
        assert constraint.describe().endswith(accepted)
    if name.endswith('_s') and not name.endswith('_per_s'):
        assert unit == 's'
    if name.endswith('_bytes'):
        assert unit == 'bytes'


def test_page_lists_exactly_the_error_kinds():
    # Guards against an error kind that no operator finds on the page.
    rows = section('Error kinds')
    assert set(rows) == {f'`{kind.value}`' for kind in errors.ErrorKind}
    for kind, rule in errors.ERROR_TABLE.items():
        _, status, run, caller, operator = rows[f'`{kind.value}`']
        assert status == str(rule.http_status), kind
        if rule.run is None:
            assert run == 'by attempt', kind
        else:
            # "Per task" stands for kinds that end accepted jobs.
            assert run in (rule.run.value, 'per task'), kind
        assert caller and operator, kind


def test_page_lists_exactly_the_metrics():
    # Guards against a metric whose meaning is not given on the page, and
    # against one on the page that is never served.
    listed = {cell.strip('`') for cell in section('Metrics')}
    assert listed == metric_names()


def test_metrics_of_jobs_cover_the_final_states():
    # Guards the names that stand in for a computed one above.
    report = model.TaskReport(not_run=[], unknown=[], failed=[], done=0)
    error = errors.DispatchError(errors.ErrorKind.INTERNAL, 'text')
    answers = (
        _answers.complete_answer('s1', []),
        _answers.failed_answer('s1', error, report),
    )
    states = [f'jobs_{answer.body["state"]}' for answer in answers]
    assert states == COMPUTED['jobs_{job.answer.body["state"]}']


def test_page_lists_exactly_the_exit_codes():
    # Guards against exit codes that scripts cannot look up.
    rows = section('Exit codes')
    assert set(rows) == {str(code.value) for code in _exit.ExitCode}
    for code in _exit.ExitCode:
        assert rows[str(code.value)][1:] == [
            f'`{code.name}`',
            _exit.MEANINGS[code],
        ]


def test_page_lists_exactly_the_fields_of_a_contract():
    # Guards against a limit that operators cannot look up, and against a
    # default on the page that the code no longer has.
    rows = section('Contracts')
    fields = set(model.Contract._fields) - {'customer', 'version'}
    fields.add('expected_version')
    assert set(rows) == {f'`{name}`' for name in fields}
    for name, default in model.Contract._field_defaults.items():
        shown = rows[f'`{name}`'][1]
        if isinstance(default, bool):
            assert shown == str(default).lower()
        else:
            assert float(shown) == default
