import argparse
import math
import os
import typing

PREFIX = 'ORIOLELOOM_'


def variable_name(flag: str) -> str:
    """Return the environment variable of a flag.

    >>> variable_name('--wait-s')
    'ORIOLELOOM_WAIT_S'
    """
    return PREFIX + flag.lstrip('-').replace('-', '_').upper()


def _add(
    parser: argparse._ActionsContainer,
    flag: str,
    check: typing.Callable[[str], typing.Any],
    default: typing.Any,
    help_text: str,
    required: bool = False,
    **options: typing.Any,
) -> None:
    variable = variable_name(flag)
    from_environment = os.environ.get(variable)

    def checked(text: str) -> typing.Any:
        try:
            return check(text)
        except ValueError as exc:
            raise argparse.ArgumentTypeError(
                f'{text!r} is not accepted (also set by {variable}): {exc}'
            ) from exc

    shown = '' if default in (None, '', ()) else f'; default {default}'
    parser.add_argument(
        flag,
        type=checked,
        # argparse passes a default that is a string through the check.
        default=default if from_environment is None else from_environment,
        required=required and from_environment is None,
        help=f'{help_text} [{variable}{shown}]'.replace('%', '%%'),
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
    whole: bool = False,
    required: bool = False,
) -> None:
    """Add a flag for a number with an accepted range.

    :param flag: name that ends with the unit, as in ``--wait-s``
    :param default: used when neither flag nor variable is set
    :param low: least accepted value
    :param high: greatest accepted value
    :param whole: accept whole numbers only
    """

    accepted = f'{low:.16g} to {high:.16g}'

    def check(text: str) -> float:
        try:
            value = int(text) if whole else float(text)
        except ValueError:
            kind = 'whole number' if whole else 'number'
            raise ValueError(f'a {kind} is required') from None
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(f'{accepted} is accepted')
        return value

    _add(
        parser,
        flag,
        check,
        default,
        f'{help_text}; {accepted}',
        required,
        metavar='N' if whole else 'NUMBER',
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
    """Add a flag for a text, optionally one of a list."""

    def check(text: str) -> str:
        if choices and text not in choices:
            raise ValueError(f'one of {", ".join(choices)} is accepted')
        if not 0 < len(text) <= max_length:
            raise ValueError(f'1 to {max_length} characters are accepted')
        return text

    if choices:
        help_text += f'; one of {", ".join(choices)}'
    _add(parser, flag, check, default, help_text, required, metavar='TEXT')


def add_list(
    parser: argparse._ActionsContainer,
    flag: str,
    *,
    default: typing.Sequence[str] = (),
    help_text: str,
    required: bool = False,
) -> None:
    """Add a flag for a list of texts separated by commas."""

    def check(text: str) -> tuple[str, ...]:
        items = tuple(item.strip() for item in text.split(','))
        if not all(items):
            raise ValueError('a list separated by commas is required')
        return items

    _add(
        parser,
        flag,
        check,
        ','.join(default) or None,
        help_text + ', separated by commas',
        required,
        metavar='LIST',
    )


def add_switch(
    parser: argparse._ActionsContainer, flag: str, *, help_text: str
) -> None:
    """Add a flag that is off by default."""
    variable = variable_name(flag)
    text = os.environ.get(variable, '0')
    # A word such as "yes" must not turn a switch off silently.
    if text not in ('0', '1', ''):
        parser.error(  # type: ignore[attr-defined]
            f'{variable} is {text!r}; 0 or 1 is accepted'
        )
    parser.add_argument(
        flag,
        action='store_true',
        default=text == '1',
        help=f'{help_text} [{variable}=1]'.replace('%', '%%'),
    )


def add_urls(parser: argparse._ActionsContainer) -> None:
    """Add the flag that names the entry instances."""
    add_list(
        parser,
        '--urls',
        default=('http://127.0.0.1:8080',),
        help_text='base URLs of entry instances or load balancers',
    )


def add_request_timeout(parser: argparse._ActionsContainer) -> None:
    """Add the flag for the time that one request may take."""
    add_number(
        parser,
        '--request-timeout-s',
        default=10.0,
        low=0.1,
        high=600,
        help_text='time that one request may take',
    )
