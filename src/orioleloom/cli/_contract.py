import argparse
import json
import textwrap
import typing
import urllib.parse

from orioleloom.cli import _exit
from orioleloom.cli import _files
from orioleloom.cli import _requests
from orioleloom.cli import _settings
from orioleloom import codec
from orioleloom import errors

HELP = "read and change customers' contracts"
DESCRIPTION = (
    "Reads and changes customers' contracts. An accepted change takes effect "
    'on every reachable instance within 5 s.'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the actions of ``contract`` as subcommands."""
    actions = parser.add_subparsers(
        dest='action', required=True, metavar='ACTION'
    )

    def add_action(
        name: str, help_text: str, description: str = ''
    ) -> argparse.ArgumentParser:
        action = actions.add_parser(
            name,
            help=help_text,
            description=textwrap.fill(description or help_text, 78),
            epilog=_exit.epilog(),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        if name != 'validate':
            _settings.add_urls(action)
            _settings.add_request_timeout(action)
        return action

    for name, help_text in (
        ('get', "print a customer's contract"),
        ('history', "print the versions of a customer's contract"),
    ):
        add_action(name, help_text).add_argument('customer')
    add_action('list', 'print all contracts')
    put = add_action(
        'put',
        "replace a customer's contract",
        description="Replaces a customer's contract with a JSON file. Without "
        '--expected-version the current version is read first; a change that '
        'another operator makes after that is reported as a conflict.',
    )
    put.add_argument('customer')
    put.add_argument('file', help='JSON file, or - for standard input')
    _settings.add_number(
        put,
        '--expected-version',
        default=None,
        low=0,
        high=2**53,
        integer=True,
        help_text='version that the change is based on; 0 for a new contract',
    )
    validate = add_action(
        'validate', 'check a contract file without contacting an instance'
    )
    validate.add_argument('customer')
    validate.add_argument('file', help='JSON file, or - for standard input')


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Run the chosen action."""
    match arguments.action:
        case 'get':
            return _get(arguments, _contract_path(arguments.customer))
        case 'list':
            return _get(arguments, '/v1/contracts')
        case 'history':
            return _get(
                arguments, f'{_contract_path(arguments.customer)}/history'
            )
        case 'put':
            return _put(arguments)
        case _:
            return _validate(arguments)


def _contract_path(customer: str) -> str:
    return f'/v1/contracts/{urllib.parse.quote(customer, safe="")}'


def _send(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: typing.Any = None,
) -> tuple[int, typing.Any]:
    return _requests.request_first_reachable(
        method,
        arguments.urls,
        path,
        timeout_s=arguments.request_timeout_s,
        body=body,
    )


def _response_error(status: int, body: typing.Any) -> _exit.CommandError:
    code = _exit.ExitCode.REFUSED
    if status == 409:
        code = _exit.ExitCode.CONFLICT
    return _exit.CommandError(code, _requests.describe_error(status, body))


def _get(arguments: argparse.Namespace, path: str) -> _exit.ExitCode:
    status, body = _send(arguments, 'GET', path)
    if status != 200:
        raise _response_error(status, body)
    print(json.dumps(body, indent=2, sort_keys=True))
    return _exit.ExitCode.OK


def _put(arguments: argparse.Namespace) -> _exit.ExitCode:
    contract = _read_json_object(arguments.file)
    expected_version = arguments.expected_version
    if expected_version is None:
        expected_version = contract.get('expected_version')
    path = _contract_path(arguments.customer)
    if expected_version is None:
        status, body = _send(arguments, 'GET', path)
        if status not in (200, 404):
            raise _response_error(status, body)
        expected_version = 0 if status == 404 else int(body['version'])
    status, body = _send(
        arguments,
        'PUT',
        path,
        {**contract, 'expected_version': expected_version},
    )
    if not 200 <= status < 300:
        raise _response_error(status, body)
    print(json.dumps(body, indent=2, sort_keys=True))
    return _exit.ExitCode.OK


def _validate(arguments: argparse.Namespace) -> _exit.ExitCode:
    # Imported here so that the other actions do not load the package.
    from orioleloom import validation

    body = _files.read_input(arguments.file)
    try:
        validation.check_contract(body, arguments.customer)
    except errors.DispatchError as exc:
        raise _exit.CommandError(
            _exit.ExitCode.REFUSED, f'{exc.kind.value}: {exc.message}'
        ) from exc
    print('ok')
    return _exit.ExitCode.OK


def _read_json_object(path: str) -> dict[str, typing.Any]:
    try:
        value = codec.decode_json(_files.read_input(path))
    except errors.DispatchError as exc:
        raise _exit.CommandError(
            _exit.ExitCode.USAGE, f'{path}: {exc.message}'
        ) from exc
    if not isinstance(value, dict):
        raise _exit.CommandError(
            _exit.ExitCode.USAGE, f'{path} does not contain a JSON object'
        )
    return value
