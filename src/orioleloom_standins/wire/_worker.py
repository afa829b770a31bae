import msgspec
import trio

from orioleloom import dispatch
from orioleloom import http1
from orioleloom_standins import leased

_REJECTION_REASONS = {
    dispatch.Rejection.FENCED: 'fence',
    dispatch.Rejection.STALE_RUN_ID: 'old',
    dispatch.Rejection.LATE: 'late',
    dispatch.Rejection.NO_ROOM: 'room',
}
_POLL_S = 0.005


class WireWorker:
    """HTTP server of a simulated worker.

    Serves ``run-start``, ``run-stop`` and ``hold``. The duration and the CPU
    demand of a task are read from the job's ``spec``.

    :param worker: implements the rules of the platform
    :param world: checks that no task runs on two workers at the same time
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        worker: leased.LeasedWorker,
        world: leased.World,
    ):
        self.nursery = nursery
        self.worker = worker
        self.world = world
        # Requests are read, but neither executed nor answered.
        self.is_unresponsive = False
        # Share of requests that are executed but not answered.
        self.mute_share = 0.0
        self.server = http1.Server(self._on_request)

    def _on_request(
        self, connection: http1.Connection, request: http1.Request
    ) -> None:
        if self.is_unresponsive:
            return
        expected = request.headers.get('x-orioleloom-expected-instance')
        if expected != self.worker.info.id:
            connection.respond(421)
            return
        fields = msgspec.json.decode(request.body)
        match request.path:
            case '/run-start':
                self._start(connection, fields)
            case '/run-stop':
                self._stop(connection, fields)
            case '/hold':
                self.nursery.start_soon(self._hold, connection, fields)
            case _:
                connection.respond(404)

    def _respond(
        self, connection: http1.Connection, status: int, **fields: object
    ) -> None:
        if self.world.random_state.random() < self.mute_share:
            return
        now_s = trio.current_time()
        body = {'clockMs': self.worker.clock_ms(now_s), **fields}
        connection.respond(status, msgspec.json.encode(body))

    @staticmethod
    def _key(task: str) -> dispatch.TaskKey:
        job_id, _, step, index = task.split('.')
        return dispatch.TaskKey(job_id, int(step), int(index))

    def _start(self, connection: http1.Connection, fields: dict) -> None:
        now_s = trio.current_time()
        self.world.now_s = now_s
        spec = msgspec.json.decode(fields['spec'])
        command = dispatch.StartRun(
            self.worker.info,
            self._key(fields['task']),
            fields['runId'],
            fields['spec'],
            fields['fencingToken'],
            fields['expiresMs'],
        )
        rejection = self.worker.start(
            command,
            spec['work_s'],
            dispatch.Resources(spec['cpu']),
            spec.get('poison', False),
            now_s,
        )
        self.world.check_duplicate_runs(self.worker)
        if rejection is None:
            self._respond(connection, 200)
        else:
            self._respond(
                connection, 409, reason=_REJECTION_REASONS[rejection]
            )

    def _stop(self, connection: http1.Connection, fields: dict) -> None:
        command = dispatch.StopRun(
            self.worker.info,
            self._key(fields['task']),
            fields['runId'],
            fields['fencingToken'],
        )
        self.worker.stop(command, trio.current_time())
        self._respond(connection, 200)

    async def _hold(self, connection: http1.Connection, fields: dict) -> None:
        now_s = trio.current_time()
        if not self.worker.hold(
            fields['fencingToken'],
            fields.get('expiresMs'),
            fields['ackedThrough'],
            now_s,
        ):
            self._respond(connection, 409, reason='fence')
            return
        deadline_s = now_s + fields.get('waitMs', 0) / 1000
        while True:
            report = self.worker.report(trio.current_time())
            if report.ended or trio.current_time() >= deadline_s:
                break
            await trio.sleep(_POLL_S)
        self._respond(
            connection,
            200,
            born=report.life,
            running=[
                [f'{key.job_id}.0.{key.step}.{key.index}', run_id, '', 50]
                for key, run_id in report.running
            ],
            endedRuns=[
                [
                    end.number,
                    f'{end.key.job_id}.0.{end.key.step}.{end.key.index}',
                    end.run_id,
                    end.kind.value,
                    '',
                ]
                for end in report.ended
            ],
        )
