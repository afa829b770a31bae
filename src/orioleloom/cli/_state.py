import argparse
import json

from orioleloom.cli import _exit
from orioleloom.cli import _requests
from orioleloom.cli import _settings

HELP = "print instances' state as JSON"
DESCRIPTION = (
    'Prints a JSON object that maps the base URL of each given instance to '
    'its state. For an instance that cannot be reached it has a message '
    'under "error", and the exit code is 6.'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of ``state``."""
    _settings.add_urls(parser)
    _settings.add_request_timeout(parser)


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Print the state of each instance."""
    code = _exit.ExitCode.OK
    states = {}
    for url in arguments.urls:
        try:
            status, body = _requests.request(
                'GET', url, '/v1/state', timeout_s=arguments.request_timeout_s
            )
        except _exit.CommandError as exc:
            states[url] = {'error': exc.message}
            code = exc.code
            continue
        states[url] = body
        if status != 200:
            code = _exit.ExitCode.REFUSED
    print(json.dumps(states, indent=2, sort_keys=True))
    return code
