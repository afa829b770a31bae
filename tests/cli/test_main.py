import json

import httpx
import pytest

from orioleloom import cli
from orioleloom.cli import _main
from orioleloom.cli import _submit
from orioleloom import client
from orioleloom import entry

UNUSED_URL = 'http://127.0.0.1:9'
JOB = {'tasks': [{'kind': 'k', 'payload': 1, 'upstream': 'u'}]}


@pytest.fixture
def job_file(tmp_path):
    path = tmp_path / 'job.json'
    path.write_text(json.dumps(JOB))
    return str(path)


@pytest.fixture
def instance(monkeypatch):
    """Answer requests from a list of responses.

    Returns the requests received and the list to fill.
    """
    requests = []
    responses = []
    real_client = httpx.Client

    def answer(request):
        requests.append(request)
        status, body = responses.pop(0)
        return httpx.Response(status, json=body)

    monkeypatch.setattr(
        httpx,
        'Client',
        lambda **options: real_client(
            transport=httpx.MockTransport(answer), **options
        ),
    )
    return requests, responses


def usage_error(capsys, *argv):
    with pytest.raises(SystemExit) as raised:
        cli.main(argv)
    assert raised.value.code == cli.ExitCode.USAGE
    return capsys.readouterr().err


def test_every_flag_names_its_variable(capsys):
    # Guards against a flag that the environment cannot set.
    parser = _main.build_parser()
    for commands in parser._subparsers._group_actions:
        for name, command in commands.choices.items():
            for action in command._actions:
                if action.option_strings and action.dest != 'help':
                    assert f'ORIOLELOOM_{action.dest.upper()}' in action.help


def test_number_out_of_range_names_flag_value_and_range(capsys):
    text = usage_error(
        capsys, 'submit', '-', '--customer', 'c', '--patience-s', '0'
    )
    for part in ('--patience-s', "'0'", '0.1 to 86400'):
        assert part in text


@pytest.mark.parametrize(
    ('variable', 'value'),
    [('PATIENCE_S', 'nan'), ('NO_WAIT', 'yes'), ('URLS', 'a,,b')],
)
def test_variables_are_checked_like_flags(
    variable, value, capsys, monkeypatch
):
    monkeypatch.setenv(f'ORIOLELOOM_{variable}', value)
    text = usage_error(capsys, 'submit', '-', '--customer', 'c')
    assert f'ORIOLELOOM_{variable}' in text


def test_flag_takes_precedence_over_variable(monkeypatch):
    monkeypatch.setenv('ORIOLELOOM_CUSTOMER', 'noche')
    monkeypatch.setenv('ORIOLELOOM_PATIENCE_S', '5')
    parser = _main.build_parser('submit')
    parsed = parser.parse_args(['submit', '-', '--patience-s', '7'])
    assert (parsed.customer, parsed.patience_s) == ('noche', 7.0)


def test_wrong_entry_setting_is_a_usage_error(capsys):
    # Guards R16: a wrong setting gives a message, not a stack trace.
    code = cli.main(
        [
            'entry',
            '--instance-id=e1',
            '--data-centre=d',
            '--platform-url=nowhere',
        ]
    )
    assert code == cli.ExitCode.USAGE
    assert 'platform_url' in capsys.readouterr().err


def test_entry_serves_its_settings(monkeypatch):
    served = []

    async def serve(settings):
        served.append(settings.instance_id)

    monkeypatch.setattr(entry, 'serve', serve)
    arguments = ['--data-centre=d', f'--platform-url={UNUSED_URL}']
    assert cli.main(['entry', '--instance-id=e1', *arguments]) == 0
    assert served == ['e1']


def test_unreachable_submit_is_not_run(job_file, capsys):
    code = cli.main(
        [
            'submit',
            job_file,
            '--customer=c',
            f'--urls={UNUSED_URL}',
            '--json',
        ]
    )
    assert code == cli.ExitCode.NOT_RUN
    printed = json.loads(capsys.readouterr().out)
    assert printed['state'] == 'not_run'
    assert printed['error']['code'] == 'unreachable'


def test_unknown_field_in_a_job_file_is_refused(tmp_path, capsys):
    # Guards R16: a misspelt field must not be ignored silently.
    path = tmp_path / 'job.json'
    path.write_text(json.dumps({**JOB, 'deadline_s': 5}))
    code = cli.main(['submit', str(path), '--customer=c'])
    assert code == cli.ExitCode.USAGE
    assert 'deadline_s' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('error_type', 'code'),
    [
        (client.NotRunError, cli.ExitCode.NOT_RUN),
        (client.OutcomeUnknownError, cli.ExitCode.OUTCOME_UNKNOWN),
        (client.JobFailedError, cli.ExitCode.JOB_FAILED),
    ],
)
def test_exit_code_tells_the_outcome(error_type, code):
    error = error_type('code', 'message', submission_id='s')
    assert _submit.exit_code(error) == code


def test_contract_put_reads_the_version_first(instance, tmp_path, capsys):
    # Guards section 7: a change by another operator between the read and the
    # write is reported as a conflict.
    requests, responses = instance
    path = tmp_path / 'contract.json'
    path.write_text('{"in_flight": 5}')
    conflict = {'code': 'contract_conflict', 'message': 'version is 4'}
    responses += [(200, {'version': 3}), (409, {'error': conflict})]
    code = cli.main(['contract', 'put', 'noche', str(path)])
    assert code == cli.ExitCode.CONFLICT
    assert json.loads(requests[1].content) == {
        'in_flight': 5,
        'expected_version': 3,
    }
    assert 'contract_conflict' in capsys.readouterr().err


def test_contract_get_list_and_history(instance, capsys):
    requests, responses = instance
    responses += [(200, {'version': 1})] * 3
    for action in (['get', 'a/b'], ['list'], ['history', 'noche']):
        assert cli.main(['contract', *action]) == 0
    assert [r.url.raw_path for r in requests] == [
        b'/v1/contracts/a%2Fb',
        b'/v1/contracts',
        b'/v1/contracts/noche/history',
    ]


def test_contract_validate_names_the_field(tmp_path, capsys):
    path = tmp_path / 'contract.json'
    path.write_text('{"in_flight": "many"}')
    code = cli.main(['contract', 'validate', 'noche', str(path)])
    assert code == cli.ExitCode.REFUSED
    assert 'in_flight' in capsys.readouterr().err


def test_state_and_stop(instance, capsys):
    requests, responses = instance
    responses += [(200, {'ready': True}), (202, {'state': 'stopping'})]
    assert cli.main(['state', '--urls=http://a']) == 0
    assert json.loads(capsys.readouterr().out) == {'http://a': {'ready': True}}
    assert cli.main(['stop', '--urls=http://a']) == 0
    assert requests[1].method == 'POST'


def test_unreachable_state_has_its_exit_code(capsys):
    code = cli.main(['state', f'--urls={UNUSED_URL}'])
    assert code == cli.ExitCode.UNREACHABLE
    assert 'error' in json.loads(capsys.readouterr().out)[UNUSED_URL]


def test_stop_has_no_default_instance(capsys, monkeypatch):
    # Guards against stopping an instance that the operator did not name.
    monkeypatch.delenv('ORIOLELOOM_URLS', raising=False)
    assert '--urls' in usage_error(capsys, 'stop')
