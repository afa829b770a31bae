import re

from orioleloom import errors
from orioleloom.validation import _constraints

MAX_SUBMISSION_ID_CHARS = 200

# Printable ASCII without '/' and whitespace, because a submission id is a
# segment of URL paths, table keys and task keys.
_SUBMISSION_ID = re.compile(r'[!-.0-~]{1,200}')
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')


def check_submission_id(text: str) -> str:
    """Check a submission id and return it.

    :raises DispatchError: ``bad_field``
    """
    if _SUBMISSION_ID.fullmatch(text) is None:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD,
            f'submission id is {_constraints.truncated_repr(text)}; '
            f'accepted are 1 to {MAX_SUBMISSION_ID_CHARS} printable ASCII '
            "characters without '/' and whitespace",
        )
    return text


def check_customer(text: str) -> str:
    """Check a customer name and return it.

    :raises DispatchError: ``bad_field``
    """
    return check_name('customer', text)


def check_name(field: str, text: str) -> str:
    """Check a name of a customer, upstream or instance and return it.

    :param field: what is checked, named in the error message
    :raises DispatchError: ``bad_field``
    """
    if _NAME.fullmatch(text) is None:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD,
            f'{field} is {_constraints.truncated_repr(text)}; accepted are '
            "1 to 64 ASCII letters, digits, '.', '_' and '-', starting with "
            'a letter or digit',
        )
    return text
