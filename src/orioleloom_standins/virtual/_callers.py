import itertools
import typing

from orioleloom import engine
from orioleloom import model
from orioleloom import validation
from orioleloom_standins.virtual._clock import Clock
from orioleloom_standins.virtual._entry import Entry
from orioleloom_standins.virtual._network import Network
from orioleloom_standins.virtual._processes import Processes
from orioleloom_standins.virtual._requests import Change
from orioleloom_standins.virtual._requests import Copy
from orioleloom_standins.virtual._requests import is_decided
from orioleloom_standins.virtual._requests import request_body


class Callers:
    """Simulated callers and operators, and the answers they received.

    ``waiting`` holds the open requests by entry id, incarnation and
    request id.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        processes: Processes,
        customer: str,
        upstream: str,
        deadline_ms: float,
    ):
        self.clock = clock
        self.network = network
        self.processes = processes
        self.customer = customer
        self.upstream = upstream
        self.deadline_ms = deadline_ms
        self.copies: list[Copy] = []
        self.waiting: dict[tuple[str, int, int], Copy] = {}
        # By job: the time its first copy was sent, and the latest deadline
        # of its copies.
        self.sent_s: dict[str, float] = {}
        self.expires_s: dict[str, float] = {}
        self.changes: dict[int, Change] = {}
        self._requests = itertools.count(1)

    def submit(
        self,
        submission_id: str,
        work_ms: typing.Sequence[float] = (50.0,),
        *,
        customer: str | None = None,
        run_times_ms: typing.Sequence[float | None] | None = None,
        entry_id: str = 'e0',
        first: bool = False,
        deadline_ms: float | None = None,
        upstream: str | None = None,
    ) -> Copy:
        """Send one copy of a submission.

        :param work_ms: actual run time of each task on a worker of speed 1
        :param run_times_ms: declared run times; defaults to ``work_ms``
        :param first: promise that no other copy was sent
        """
        declared = work_ms if run_times_ms is None else run_times_ms
        tasks = tuple(
            model.Task(
                'crew',
                {'work_ms': ms, 'id': f'{submission_id}-{index}'},
                upstream or self.upstream,
                run_time_ms,
            )
            for index, (ms, run_time_ms) in enumerate(zip(work_ms, declared))
        )
        job_id = model.JobId(customer or self.customer, submission_id)
        return self.send_copy(
            job_id, tasks, entry_id, first=first, deadline_ms=deadline_ms
        )

    def send_copy(
        self,
        job_id: model.JobId,
        tasks: tuple[model.Task, ...],
        entry_id: str,
        *,
        first: bool = False,
        deadline_ms: float | None = None,
    ) -> Copy:
        """Send a copy of a submission with the given tasks."""
        copy = Copy(job_id, tasks, entry_id, self.clock.now_s, first)
        copy.deadline_ms = deadline_ms
        self.copies.append(copy)
        body = request_body(tasks, deadline_ms)
        request = validation.check_job(body)
        name = f'{job_id.customer}/{job_id.submission_id}'
        self.sent_s.setdefault(name, self.clock.now_s)
        expires_s = self.clock.now_s + self.network.link_s
        if deadline_ms is None:
            deadline_ms = self.deadline_ms
        self.expires_s[name] = max(
            self.expires_s.get(name, 0.0), expires_s + deadline_ms / 1000
        )
        self._send(
            copy,
            lambda request_id: engine.Submit(
                request_id, job_id, request, first, True, body
            ),
            delay_s=self.network.link_s,
        )
        return copy

    def cancel(
        self,
        submission_id: str,
        *,
        entry_id: str = 'e0',
        customer: str | None = None,
    ) -> Copy:
        """Send a cancel request for a submission to an instance."""
        job_id = model.JobId(customer or self.customer, submission_id)
        sent = [c.tasks for c in self.copies if c.job_id == job_id]
        return self.cancel_job(job_id, sent[0] if sent else (), entry_id)

    def cancel_job(
        self, job_id: model.JobId, tasks: tuple[model.Task, ...], entry_id: str
    ) -> Copy:
        """Cancel a job, even if no copy of it has been sent yet."""
        copy = Copy(job_id, tasks, entry_id, self.clock.now_s, cancel=True)
        self.copies.append(copy)
        self._send(copy, lambda request_id: engine.Cancel(request_id, job_id))
        return copy

    def fetch(
        self, job_id: model.JobId, tasks: tuple[model.Task, ...], entry_id: str
    ) -> Copy:
        """Request the answer of a submission from an instance."""
        copy = Copy(job_id, tasks, entry_id, self.clock.now_s, fetch=True)
        self.copies.append(copy)
        self._send(
            copy, lambda request_id: engine.Fetch(request_id, job_id, True)
        )
        return copy

    def _send(
        self,
        copy: Copy,
        event_of: typing.Callable[[int], engine.Event],
        *,
        delay_s: float = 0.0,
    ) -> None:
        entry = self.processes.by_id[copy.entry_id]
        if not entry.alive or self.network.is_cut(entry.id, 'callers'):
            self.clock.at(self.network.link_s, lambda: self._give_up(copy))
            return
        request_id = next(self._requests)
        incarnation = entry.incarnation
        copy.request = (entry.id, incarnation, request_id)
        self.waiting[copy.request] = copy
        event = event_of(request_id)
        if delay_s:
            self.clock.at(
                delay_s,
                lambda: self.processes.post(entry, incarnation, event),
            )
        else:
            self.processes.post(entry, incarnation, event)

    def disconnect(self, copy: Copy) -> None:
        """Close the connection of a request."""
        self._give_up(copy)
        if copy.request in self.waiting:
            entry_id, incarnation, request_id = copy.request
            self.processes.post(
                self.processes.by_id[entry_id],
                incarnation,
                engine.RequestGone(request_id),
            )

    def resubmit_all(self, *, exclude: str = '') -> None:
        """Send another copy of every submission without a final answer.

        Callers close the connections of earlier copies first, and do not
        resubmit a job that was answered with "not run".

        :param exclude: id of an instance to avoid if another one is alive
        """
        decided = {c.job_id for c in self.copies if is_decided(c.answer)}
        first_copies = {c.job_id: c for c in reversed(self.copies)}
        for job_id, copy in first_copies.items():
            if job_id in decided or not copy.tasks:
                continue
            for earlier in self.copies:
                if earlier.job_id == job_id and earlier.answer is None:
                    earlier.gave_up = True
            self.send_copy(
                job_id,
                copy.tasks,
                self.other_entry(exclude),
                deadline_ms=copy.deadline_ms,
            )

    def other_entry(self, entry_id: str) -> str:
        """Return another live instance, or ``entry_id`` if there is none."""
        live = [e.id for e in self.processes.by_id.values() if e.alive]
        return next((e for e in live if e != entry_id), entry_id)

    def put_contract(
        self,
        entry_id: str,
        expected_version: int,
        *,
        customer: str | None = None,
        **changes: typing.Any,
    ) -> Change:
        """Change a contract as an operator.

        :param expected_version: version that the change replaces
        :param changes: fields of the contract to change
        """
        entry = self.processes.by_id[entry_id]
        request_id = next(self._requests)
        known = entry.core.contract(customer or self.customer)
        contract = known._replace(version=expected_version + 1, **changes)
        change = Change(
            known.customer, expected_version, entry_id, self.clock.now_s
        )
        self.changes[request_id] = change
        event = engine.PutContract(request_id, contract, expected_version)
        self.processes.post(entry, entry.incarnation, event)
        return change

    def respond(
        self,
        entry: Entry,
        incarnation: int,
        request_id: int,
        answer: model.Answer,
    ) -> None:
        """Deliver the answer to a request.

        An answer is lost if the link to the callers is cut.
        """
        copy = self.waiting.pop((entry.id, incarnation, request_id), None)
        if copy is None:
            if request_id in self.changes:
                self.changes[request_id].answer = answer
            return
        if self.network.is_cut(entry.id, 'callers'):
            copy.gave_up = True
        if not copy.gave_up:
            copy.answer = answer
            copy.answered_at_s = self.clock.now_s

    def process_ended(self, entry: Entry) -> None:
        """Break the callers' connections to a process that ended."""
        for key, copy in list(self.waiting.items()):
            if key[:2] == (entry.id, entry.incarnation):
                del self.waiting[key]
                self.clock.at(
                    self.network.link_s, lambda copy=copy: self._give_up(copy)
                )

    @staticmethod
    def _give_up(copy: Copy) -> None:
        if copy.answer is None:
            copy.gave_up = True
