import contextlib
import json
import signal
import subprocess
import sys

import httpx
import pytest

import orioleloom_standins as standins
from orioleloom_standins import cli


@contextlib.contextmanager
def start_process(*arguments):
    command = [sys.executable, '-m', 'orioleloom_standins.cli', *arguments]
    command += ['--lifetime-s', '30']
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            yield process, json.loads(process.stdout.readline())
        finally:
            process.kill()


@pytest.mark.processes
def test_workers_register_and_their_ledger_survives_a_kill(tmp_path):
    # The audit of a run that kills worker processes with SIGKILL needs the
    # entries that they wrote before.
    path = str(tmp_path / 'ledger')
    with contextlib.ExitStack() as stack:
        _, platform = stack.enter_context(start_process('platform'))
        process, workers = stack.enter_context(
            start_process(
                'workers',
                '--count=3',
                '--rack-size=2',
                f'--ledger={path}',
                f'--platform={platform["http"]}',
            )
        )
        client = stack.enter_context(httpx.Client(trust_env=False))
        members = client.get(f'{platform["http"]}/v1/members').json()
        racks = [member['rack'] for member in members['members']]
        assert racks == ['dc1-rack0', 'dc1-rack0', 'dc1-rack1']
        task = {'key': 'c/s/0', 'kind': 'k', 'payload': {'work_ms': 60_000}}
        with contextlib.suppress(httpx.ReadTimeout):
            client.post(
                f'http://127.0.0.1:{workers["workers"]["w1"]}/v1/tasks',
                json={'instance': 'e1', 'tasks': [task]},
                timeout=0.3,
            )
        process.send_signal(signal.SIGKILL)
        process.wait()
    (entry,) = standins.read_ledger(path)
    assert (entry.event, entry.key, entry.worker) == ('start', 'c/s/0', 'w1')


@pytest.mark.parametrize(
    'arguments, message',
    [
        (['workers', '--slots=0'], '0 is not between 1 and 10000'),
        (['workers', '--speeds=1,x'], "'x' is not a number"),
        (['platform', '--port=70000'], '70000 is not between 0 and 65535'),
    ],
)
def test_settings_out_of_range_are_refused(arguments, message, capsys):
    with pytest.raises(SystemExit):
        cli.main(arguments)
    assert message in capsys.readouterr().err


def test_settings_come_from_the_environment(monkeypatch):
    monkeypatch.setenv('ORIOLELOOM_STANDIN_SPEEDS', '1,2.5')
    options = cli.build_parser().parse_args(['workers'])
    assert options.speeds == [1.0, 2.5]
