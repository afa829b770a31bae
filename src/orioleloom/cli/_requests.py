import typing

import httpx

from orioleloom.cli import _exit


def request(
    method: str,
    base_url: str,
    path: str,
    *,
    timeout_s: float,
    body: typing.Any = None,
) -> tuple[int, typing.Any]:
    """Send a request to the HTTP API of an instance.

    :param body: JSON value to send
    :returns: HTTP status and the decoded body; ``None`` for a successful
        response without JSON
    :raises CommandError: the instance cannot be reached, or its error
        response is not JSON
    """
    url = base_url.rstrip('/') + path
    try:
        with httpx.Client(
            timeout=timeout_s,
            trust_env=False,
            verify=url.startswith('https:'),
        ) as http:
            response = http.request(method, url, json=body)
    except httpx.HTTPError as exc:
        raise _exit.CommandError(
            _exit.ExitCode.UNREACHABLE,
            f'{method} {url}: {exc or type(exc).__name__}',
        ) from exc
    try:
        return response.status_code, response.json()
    except ValueError as exc:
        if response.is_success:
            return response.status_code, None
        raise _exit.CommandError(
            _exit.ExitCode.REFUSED,
            f'{method} {url}: status {response.status_code} with a body '
            'that is not JSON',
        ) from exc


def request_first_reachable(
    method: str,
    base_urls: typing.Sequence[str],
    path: str,
    *,
    timeout_s: float,
    body: typing.Any = None,
) -> tuple[int, typing.Any]:
    """Send a request to the first instance that can be reached.

    :raises CommandError: no instance can be reached, or an error response is
        not JSON
    """
    last_error = None
    for base_url in base_urls:
        try:
            return request(
                method, base_url, path, timeout_s=timeout_s, body=body
            )
        except _exit.CommandError as exc:
            if exc.code != _exit.ExitCode.UNREACHABLE:
                raise
            last_error = exc
    assert last_error is not None
    raise last_error


def describe_error(status: int, body: typing.Any) -> str:
    """Describe an error response in one line."""
    error = body.get('error') if isinstance(body, dict) else None
    if not isinstance(error, dict):
        return f'status {status}'
    return f'{error.get("code")}: {error.get("message")} (status {status})'
