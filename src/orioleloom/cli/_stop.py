import argparse
import sys

from orioleloom.cli import _exit
from orioleloom.cli import _requests
from orioleloom.cli import _settings

HELP = 'stop instances gracefully'
DESCRIPTION = (
    'Asks each given instance to stop. The instance stops reporting that it '
    'is ready, finishes the work that it has accepted and then exits.'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of ``stop``."""
    _settings.add_list(
        parser,
        '--urls',
        # No default, and no load balancers: the wrong instance could be
        # stopped.
        help_text='base URLs of the instances to stop',
        required=True,
    )
    _settings.add_request_timeout(parser)


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Ask each instance to stop."""
    code = _exit.ExitCode.OK
    for url in arguments.urls:
        try:
            status, body = _requests.request(
                'POST', url, '/v1/stop', timeout_s=arguments.request_timeout_s
            )
        except _exit.CommandError as exc:
            print(exc.message, file=sys.stderr)
            code = exc.code
            continue
        if 200 <= status < 300:
            print(f'{url}: stopping')
        else:
            error_text = _requests.describe_error(status, body)
            print(f'{url}: {error_text}', file=sys.stderr)
            code = _exit.ExitCode.REFUSED
    return code
