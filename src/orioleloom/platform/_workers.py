"""HTTP client of the platform's workers."""

import typing

import msgspec

from orioleloom import dispatch
from orioleloom import http1
from orioleloom import node
from orioleloom.platform import _wire


class WorkerClient:
    """Sends commands and report requests to workers."""

    def __init__(self, client: http1.Client):
        self.client = client

    async def _post(
        self,
        worker: dispatch.WorkerInfo,
        path: str,
        body: dict[str, typing.Any],
    ) -> http1.Response:
        try:
            response = await self.client.request(
                worker.address,
                'POST',
                path,
                msgspec.json.encode(body),
                f'X-Orioleloom-Expected-Instance: {worker.id}\r\n',
            )
        except http1.RefusedError as exc:
            raise node.RefusedError(str(exc)) from exc
        except http1.ClosedError as exc:
            raise node.ClosedError(str(exc)) from exc
        except http1.NotSentError as exc:
            raise node.NotSentError(str(exc)) from exc
        except http1.NoAnswerError as exc:
            raise node.NoAnswerError(str(exc)) from exc
        match response.status:
            case 200:
                return response
            case 421:
                raise node.RejectedError(dispatch.Rejection.OTHER_INCARNATION)
            case 429 | 503:
                raise node.RejectedError(dispatch.Rejection.UNHEALTHY)
            case 409:
                raise node.RejectedError(_decode_rejection(response))
            case 400 | 404:
                raise node.RejectedError(dispatch.Rejection.REFUSED)
        raise node.NoAnswerError(f'status {response.status}')

    async def start(self, command: dispatch.StartRun) -> int:
        """Start a run and return the worker's clock."""
        response = await self._post(
            command.worker,
            '/run-start',
            {
                'task': _wire.encode_task_name(command.key),
                'runId': command.run_id,
                'spec': command.payload,
                'expiresMs': command.expires_ms,
                'fencingToken': command.token,
            },
        )
        return self._decode(_wire.decode_command_response, response)[0]

    async def stop(self, command: dispatch.StopRun) -> None:
        """Stop a run, or prevent it from starting if it has not yet."""
        await self._post(
            command.worker,
            '/run-stop',
            {
                'task': _wire.encode_task_name(command.key),
                'runId': command.run_id,
                'fencingToken': command.token,
            },
        )

    async def report(
        self,
        worker: dispatch.WorkerInfo,
        token: int,
        expires_ms: int | None,
        acked_through: int,
        wait_s: float,
    ) -> dispatch.WorkerReport:
        """Extend the lease of a worker's runs and list them."""
        body: dict[str, typing.Any] = {
            'fencingToken': token,
            'ackedThrough': acked_through,
        }
        if expires_ms is not None:
            body['expiresMs'] = expires_ms
        if wait_s:
            body['waitMs'] = int(wait_s * 1000)
        response = await self._post(worker, '/hold', body)
        return self._decode(_wire.decode_report, response)

    async def can_connect(self, worker: dispatch.WorkerInfo) -> bool:
        """Return whether a connection to a worker can be opened."""
        return await self.client.can_connect(worker.address)

    @staticmethod
    def _decode(
        decode: typing.Callable[[bytes], typing.Any], response: http1.Response
    ) -> typing.Any:
        try:
            return decode(response.body)
        except _wire.WireError as exc:
            # The worker may have executed the command.
            raise node.NoAnswerError(str(exc)) from exc


def _decode_rejection(response: http1.Response) -> dispatch.Rejection:
    try:
        reason = _wire.decode_command_response(response.body)[1]
    except _wire.WireError as exc:
        raise node.NoAnswerError(str(exc)) from exc
    return _wire.REJECTION_REASONS.get(reason, dispatch.Rejection.REFUSED)
