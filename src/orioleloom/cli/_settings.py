import argparse
import math
import os
import typing

VARIABLE_PREFIX = 'ORIOLELOOM_'


def variable_name(flag: str) -> str:
    """Return the environment variable of a flag.

    >>> variable_name('--wait-s')
    'ORIOLELOOM_WAIT_S'
    """
    return VARIABLE_PREFIX + flag.lstrip('-').replace('-', '_').upper()


def _add_flag(
    parser: argparse._ActionsContainer,
    flag: str,
    parse: typing.Callable[[str], typing.Any],
    default: typing.Any,
    help_text: str,
    required: bool = False,
    **options: typing.Any,
) -> None:
    variable = variable_name(flag)
    from_environment = os.environ.get(variable)

    def convert(text: str) -> typing.Any:
        try:
            return parse(text)
        except ValueError as exc:
            raise argparse.ArgumentTypeError(
                f'invalid value {text!r} (also set by {variable}): {exc}'
            ) from exc

    default_text = '' if default in (None, '', ()) else f'; default {default}'
    parser.add_argument(
        flag,
        type=convert,
        # argparse applies ``type`` to a default that is a string, so a value
        # from the environment is checked as well.
        default=default if from_environment is None else from_environment,
        required=required and from_environment is None,
        help=f'{help_text} [{variable}{default_text}]'.replace('%', '%%'),
        **options,
    )


def add_number(
    parser: argparse._ActionsContainer,
    flag: str,
    *,
    default: float | None,
    low: float,
    high: float,
    help_text: str,
    integer: bool = False,
    required: bool = False,
) -> None:
    """Add a flag for a number within a range.

    :param flag: name of the flag, with its unit as in ``--wait-s``
    :param default: value if neither the flag nor the variable is set
    :param low: minimum, inclusive
    :param high: maximum, inclusive
    :param integer: accept whole numbers only
    """

    value_range = f'{low:.16g} to {high:.16g}'

    def parse(text: str) -> float:
        try:
            value = int(text) if integer else float(text)
        except ValueError:
            kind = 'whole number' if integer else 'number'
            raise ValueError(f'must be a {kind}') from None
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(f'must be in the range {value_range}')
        return value

    _add_flag(
        parser,
        flag,
        parse,
        default,
        f'{help_text}; {value_range}',
        required,
        metavar='N' if integer else 'NUMBER',
    )


def add_text(
    parser: argparse._ActionsContainer,
    flag: str,
    *,
    default: str | None = None,
    help_text: str,
    choices: typing.Sequence[str] = (),
    max_length: int = 4096,
    required: bool = False,
) -> None:
    """Add a flag for a string.

    :param choices: accepted values; empty to accept any
    :param max_length: maximum number of characters
    """

    def parse(text: str) -> str:
        if choices and text not in choices:
            raise ValueError(f'must be one of {", ".join(choices)}')
        if not 0 < len(text) <= max_length:
            raise ValueError(f'must have 1 to {max_length} characters')
        return text

    if choices:
        help_text += f'; one of {", ".join(choices)}'
    _add_flag(
        parser, flag, parse, default, help_text, required, metavar='TEXT'
    )


def add_list(
    parser: argparse._ActionsContainer,
    flag: str,
    *,
    default: typing.Sequence[str] = (),
    help_text: str,
    required: bool = False,
) -> None:
    """Add a flag for a comma-separated list of strings."""

    def parse(text: str) -> tuple[str, ...]:
        items = tuple(item.strip() for item in text.split(','))
        if not all(items):
            raise ValueError(
                'must be a comma-separated list without empty items'
            )
        return items

    _add_flag(
        parser,
        flag,
        parse,
        ','.join(default) or None,
        help_text + ', comma-separated',
        required,
        metavar='LIST',
    )


def add_switch(
    parser: argparse._ActionsContainer, flag: str, *, help_text: str
) -> None:
    """Add a boolean flag that is off by default."""
    variable = variable_name(flag)
    text = os.environ.get(variable, '0')
    # Other values are rejected: "yes" would silently count as "off".
    if text not in ('0', '1', ''):
        parser.error(  # type: ignore[attr-defined]
            f'{variable} must be 0 or 1, not {text!r}'
        )
    parser.add_argument(
        flag,
        action='store_true',
        default=text == '1',
        help=f'{help_text} [{variable}=1]'.replace('%', '%%'),
    )


def add_urls(parser: argparse._ActionsContainer) -> None:
    """Add the flag for the base URLs of the entry instances."""
    add_list(
        parser,
        '--urls',
        default=('http://127.0.0.1:8080',),
        help_text='base URLs of entry instances or load balancers',
    )


def add_request_timeout(parser: argparse._ActionsContainer) -> None:
    """Add the flag for the timeout of a request."""
    add_number(
        parser,
        '--request-timeout-s',
        default=10.0,
        low=0.1,
        high=600,
        help_text='timeout of a request',
    )
