import collections
import collections.abc
import heapq
import itertools
import typing

# A task of cost zero would let one flow be served without end.
_MIN_COST_MS = 0.01

# Stale heap entries are dropped when they outnumber the live ones.
_MIN_COMPACT_LEN = 32


class QueuedTask(typing.NamedTuple):
    """A task that waits for a slot.

    :param job_key: identity of its job
    :param index: index of the task in its job
    :param cost_ms: expected run time, for fair sharing
    :param declared_run_time_ms: run time that the caller declared
    """

    job_key: typing.Hashable
    index: int
    kind: str
    upstream: str
    cost_ms: float
    declared_run_time_ms: float | None


class _Flow:
    """Tasks of one job on one upstream."""

    __slots__ = ('key', 'tasks', 'start', 'entry_id')

    def __init__(self, key: typing.Hashable, start: float):
        self.key = key
        self.tasks: collections.deque[QueuedTask] = collections.deque()
        self.start = start
        self.entry_id = 0


class _Schedule:
    """A heap of items by start tag whose entries can be replaced.

    An item (``_Flow`` or ``_Lane``) names its one valid entry by
    ``entry_id``; other entries are skipped when they surface.
    """

    __slots__ = ('heap', 'n_live', 'virtual_time', '_ids')

    def __init__(self):
        self.heap: list[tuple[float, int, typing.Any]] = []
        self.n_live = 0
        self.virtual_time = 0.0
        self._ids = itertools.count(1)

    def insert(self, item) -> None:
        """Add an item, or move it to its new start tag."""
        if not item.entry_id:
            self.n_live += 1
        item.entry_id = next(self._ids)
        heapq.heappush(self.heap, (item.start, item.entry_id, item))
        if len(self.heap) > _MIN_COMPACT_LEN + 2 * self.n_live:
            self.heap = [
                entry for entry in self.heap if entry[2].entry_id == entry[1]
            ]
            heapq.heapify(self.heap)

    def withdraw(self, item) -> None:
        """Remove an item; its entry is dropped later."""
        if item.entry_id:
            item.entry_id = 0
            self.n_live -= 1

    def first(self):
        """Return the item with the least start tag, or ``None``."""
        while self.heap:
            _, entry_id, item = self.heap[0]
            if item.entry_id == entry_id:
                return item
            heapq.heappop(self.heap)
        return None

    def serve(self, item, cost: float) -> None:
        """Charge the first item for a service and advance time."""
        # An item that could not be served for a while may be behind; it
        # is brought forward, so that it gains no credit.
        self.virtual_time = max(self.virtual_time, item.start)
        item.start = self.virtual_time + cost

    def refund(self, item, cost: float) -> None:
        """Take back the charge for a service that did not happen."""
        item.start = max(self.virtual_time, item.start - cost)


class _Lane:
    """Flows of one customer on one upstream."""

    __slots__ = ('customer', 'flows', 'schedule', 'start', 'entry_id')

    def __init__(self, customer: str, start: float):
        self.customer = customer
        self.flows: dict[typing.Hashable, _Flow] = {}
        self.schedule = _Schedule()
        self.start = start
        self.entry_id = 0


class FairQueue:
    """Start-time fair queueing over customers, then over their flows.

    Workers of different upstreams do not compete, so each upstream has
    its own schedule: a customer's use of one upstream does not lower
    its place on another. Upstreams with eligible tasks take turns.

    While two customers have tasks that may be started on an upstream,
    the difference between their services there, each divided by its
    weight, is at most ``cost_a / weight_a + cost_b / weight_b`` with
    their largest costs (Goyal, Vin and Cheng, 1996). The same holds for
    the flows of a customer with equal weights.

    >>> queue = FairQueue()
    >>> task = QueuedTask('job', 0, 'thumbnail', 'gpu', 100.0, None)
    >>> queue.push('acme', 'job', [task])
    >>> queue.pop(lambda customer, upstream: True)[0]
    'acme'
    """

    def __init__(self):
        self._weights: dict[str, float] = {}
        self._lanes: dict[str, dict[str, _Lane]] = {}
        self._schedules: collections.OrderedDict[str, _Schedule] = (
            collections.OrderedDict()
        )
        self._n_tasks: collections.Counter[str] = collections.Counter()
        self._n_total = 0
        self._paused: set[str] = set()

    def set_weight(self, customer: str, weight: float) -> None:
        """Set a customer's weight; it is 1 until set."""
        if not weight > 0:
            raise ValueError(f'weight of {customer!r} is {weight}, not > 0')
        self._weights[customer] = weight

    def push(
        self,
        customer: str,
        flow: typing.Hashable,
        tasks: collections.abc.Iterable[QueuedTask],
    ) -> None:
        """Append tasks to a flow.

        :param flow: one job on one upstream; tasks of several upstreams
            under one name are kept apart
        """
        for task in tasks:
            self._flow(customer, flow, task.upstream).tasks.append(task)
            self._count(customer, 1)

    def push_front(
        self, customer: str, flow: typing.Hashable, task: QueuedTask
    ) -> None:
        """Put a task back that was popped but did not start.

        It is the next one of its flow, and its cost is not charged.
        """
        queued = self._flow(customer, flow, task.upstream)
        queued.tasks.appendleft(task)
        self._count(customer, 1)
        lane = self._lanes[customer][task.upstream]
        schedule = self._schedules[task.upstream]
        cost = max(task.cost_ms, _MIN_COST_MS)
        lane.schedule.refund(queued, cost)
        lane.schedule.insert(queued)
        schedule.refund(lane, cost / self._weights.get(customer, 1.0))
        if customer not in self._paused:
            schedule.insert(lane)

    def pop(
        self,
        is_eligible: collections.abc.Callable[[str, str], bool],
        *,
        open_upstreams: collections.abc.Container[str] | None = None,
    ) -> tuple[str, QueuedTask] | None:
        """Remove and return the next task that may start.

        The cost grows with the logarithm of the numbers of customers
        and flows, and linearly with the customers for which
        ``is_eligible`` is false. Pause customers that have no allowance
        and name the upstreams with free slots to avoid the latter.

        :param is_eligible: called with customer and upstream
        :param open_upstreams: upstreams to consider; all when ``None``
        :returns: customer and task, or ``None`` when none may start
        """
        for upstream in list(self._schedules):
            if open_upstreams is not None and upstream not in open_upstreams:
                continue
            found = self._pop_upstream(upstream, is_eligible)
            if found is not None:
                self._schedules.move_to_end(upstream)
                return found
        return None

    def pause(self, customer: str) -> None:
        """Leave a customer's tasks out until :meth:`resume`."""
        self._paused.add(customer)
        for upstream, lane in self._lanes.get(customer, {}).items():
            self._schedules[upstream].withdraw(lane)

    def resume(self, customer: str) -> None:
        """Consider a paused customer again."""
        if customer not in self._paused:
            return
        self._paused.discard(customer)
        for upstream, lane in self._lanes.get(customer, {}).items():
            if lane.flows:
                self._schedules[upstream].insert(lane)

    def remove(self, customer: str, flow: typing.Hashable) -> list[QueuedTask]:
        """Remove a flow and return its tasks in order."""
        removed: list[QueuedTask] = []
        for upstream, lane in self._lanes.get(customer, {}).items():
            queued = lane.flows.pop(flow, None)
            if queued is None:
                continue
            lane.schedule.withdraw(queued)
            removed.extend(queued.tasks)
            if not lane.flows:
                self._schedules[upstream].withdraw(lane)
        self._count(customer, -len(removed))
        return removed

    def n_tasks(self, customer: str | None = None) -> int:
        """Return the number of waiting tasks, of one customer or all."""
        if customer is None:
            return self._n_total
        return self._n_tasks[customer]

    def customers(self) -> list[str]:
        """Return the customers with waiting tasks."""
        return list(self._n_tasks)

    def _count(self, customer: str, n_added: int) -> None:
        self._n_total += n_added
        n_tasks = self._n_tasks[customer] + n_added
        if n_tasks:
            self._n_tasks[customer] = n_tasks
        else:
            del self._n_tasks[customer]

    def _flow(
        self, customer: str, flow: typing.Hashable, upstream: str
    ) -> _Flow:
        schedule = self._schedules.get(upstream)
        if schedule is None:
            schedule = self._schedules[upstream] = _Schedule()
        lanes = self._lanes.setdefault(customer, {})
        lane = lanes.get(upstream)
        if lane is None:
            lane = lanes[upstream] = _Lane(customer, schedule.virtual_time)
        if not lane.flows:
            # The old tag is kept when it is later: a customer with one
            # task at a time must not be served first each time.
            lane.start = max(lane.start, schedule.virtual_time)
            if customer not in self._paused:
                schedule.insert(lane)
        queued = lane.flows.get(flow)
        if queued is None:
            queued = lane.flows[flow] = _Flow(flow, lane.schedule.virtual_time)
            lane.schedule.insert(queued)
        return queued

    def _pop_upstream(
        self,
        upstream: str,
        is_eligible: collections.abc.Callable[[str, str], bool],
    ) -> tuple[str, QueuedTask] | None:
        schedule = self._schedules[upstream]
        skipped: list[tuple[float, int, _Lane]] = []
        found = None
        while (lane := schedule.first()) is not None:
            entry = heapq.heappop(schedule.heap)
            if not is_eligible(lane.customer, upstream):
                skipped.append(entry)
                continue
            found = lane.customer, self._serve(schedule, lane)
            break
        for entry in skipped:
            heapq.heappush(schedule.heap, entry)
        return found

    def _serve(self, schedule: _Schedule, lane: _Lane) -> QueuedTask:
        flow = lane.schedule.first()
        heapq.heappop(lane.schedule.heap)
        task = flow.tasks.popleft()
        cost = max(task.cost_ms, _MIN_COST_MS)
        lane.schedule.serve(flow, cost)
        schedule.serve(lane, cost / self._weights.get(lane.customer, 1.0))
        if flow.tasks:
            lane.schedule.insert(flow)
        else:
            lane.schedule.withdraw(flow)
            del lane.flows[flow.key]
        if lane.flows:
            schedule.insert(lane)
        else:
            schedule.withdraw(lane)
        self._count(lane.customer, -1)
        return task
