"""Start-time fair queueing of waiting tasks."""

import collections
import collections.abc
import heapq
import itertools
import typing

# A flow of tasks with cost zero would be served indefinitely.
_MIN_COST_MS = 0.01

# Length beyond which a heap is compacted once most entries are stale.
_MIN_COMPACT_LEN = 32


class QueuedTask(typing.NamedTuple):
    """Task waiting for a slot.

    :param job_key: key of its job
    :param index: index of the task in its job
    :param cost_ms: expected run time, the cost in fair queueing
    :param declared_run_time_ms: run time that the caller declared
    """

    job_key: typing.Hashable
    index: int
    kind: str
    upstream: str
    cost_ms: float
    declared_run_time_ms: float | None


class _Flow:
    """Tasks of one job on one upstream, in order."""

    __slots__ = ('key', 'tasks', 'start_tag', 'entry_id')

    def __init__(self, key: typing.Hashable, start_tag: float):
        self.key = key
        self.tasks: collections.deque[QueuedTask] = collections.deque()
        self.start_tag = start_tag
        self.entry_id = 0


class _Schedule:
    """Heap of items ordered by start tag, with lazy deletion.

    The ``entry_id`` of an item (``_Flow`` or ``_CustomerQueue``) identifies
    its only valid heap entry, and is 0 if it has none. Other entries are
    stale and are skipped when they reach the top of the heap.
    """

    __slots__ = ('heap', 'n_live', 'virtual_time', '_ids')

    def __init__(self):
        self.heap: list[tuple[float, int, typing.Any]] = []
        self.n_live = 0
        self.virtual_time = 0.0
        self._ids = itertools.count(1)

    def insert(self, item) -> None:
        """Insert an item, or update its position after a new start tag."""
        if not item.entry_id:
            self.n_live += 1
        item.entry_id = next(self._ids)
        heapq.heappush(self.heap, (item.start_tag, item.entry_id, item))
        if len(self.heap) > _MIN_COMPACT_LEN + 2 * self.n_live:
            self.heap = [
                entry for entry in self.heap if entry[2].entry_id == entry[1]
            ]
            heapq.heapify(self.heap)

    def discard(self, item) -> None:
        """Remove an item if present; its heap entry becomes stale."""
        if item.entry_id:
            item.entry_id = 0
            self.n_live -= 1

    def peek(self):
        """Return the item with the least start tag, or ``None``."""
        while self.heap:
            _, entry_id, item = self.heap[0]
            if item.entry_id == entry_id:
                return item
            heapq.heappop(self.heap)
        return None

    def charge(self, item, cost: float) -> None:
        """Charge the first item for a service and advance virtual time."""
        # The start tag of an item that could not be served for a while may
        # be in the past. It is moved to the virtual time, so that the item
        # gains no credit.
        self.virtual_time = max(self.virtual_time, item.start_tag)
        item.start_tag = self.virtual_time + cost

    def refund(self, item, cost: float) -> None:
        """Refund the cost of a service that did not take place."""
        item.start_tag = max(self.virtual_time, item.start_tag - cost)


class _CustomerQueue:
    """Flows of one customer on one upstream."""

    __slots__ = ('customer', 'flows', 'schedule', 'start_tag', 'entry_id')

    def __init__(self, customer: str, start_tag: float):
        self.customer = customer
        self.flows: dict[typing.Hashable, _Flow] = {}
        self.schedule = _Schedule()
        self.start_tag = start_tag
        self.entry_id = 0


class FairQueue:
    """Start-time fair queueing over customers, then over their flows.

    Tasks of different upstreams do not compete for workers, so each
    upstream has its own schedule: a customer's use of one upstream does
    not affect its priority on another. Upstreams with eligible tasks are
    served in turn.

    While two customers have tasks that may be started on an upstream,
    the difference between the services they received there, each divided
    by the customer's weight, is at most
    ``cost_a / weight_a + cost_b / weight_b``, where the costs are the
    largest of each customer (Goyal, Vin and Cheng, 1996). The same holds
    for the flows of a customer, with equal weights.

    >>> queue = FairQueue()
    >>> task = QueuedTask('job', 0, 'thumbnail', 'gpu', 100.0, None)
    >>> queue.push('acme', 'job', [task])
    >>> queue.pop(lambda customer, upstream: True)[0]
    'acme'
    """

    def __init__(self):
        self._weights: dict[str, float] = {}
        self._customer_queues: dict[str, dict[str, _CustomerQueue]] = {}
        self._schedules: collections.OrderedDict[str, _Schedule] = (
            collections.OrderedDict()
        )
        self._n_tasks: collections.Counter[str] = collections.Counter()
        self._n_total = 0
        self._paused: set[str] = set()

    def set_weight(self, customer: str, weight: float) -> None:
        """Set the weight of a customer; the default is 1."""
        if not weight > 0:
            raise ValueError(f'weight of {customer!r} is {weight}, not > 0')
        self._weights[customer] = weight

    def push(
        self,
        customer: str,
        flow_key: typing.Hashable,
        tasks: collections.abc.Iterable[QueuedTask],
    ) -> None:
        """Append tasks to a flow.

        :param flow_key: key of the flow; tasks of different upstreams
            under the same key form separate flows
        """
        for task in tasks:
            self._get_or_add_flow(
                customer, flow_key, task.upstream
            ).tasks.append(task)
            self._add_to_count(customer, 1)

    def push_front(
        self, customer: str, flow_key: typing.Hashable, task: QueuedTask
    ) -> None:
        """Return a task that was popped but not started to its flow.

        It becomes the first task of the flow, and its cost is refunded.
        """
        flow = self._get_or_add_flow(customer, flow_key, task.upstream)
        flow.tasks.appendleft(task)
        self._add_to_count(customer, 1)
        customer_queue = self._customer_queues[customer][task.upstream]
        schedule = self._schedules[task.upstream]
        cost = max(task.cost_ms, _MIN_COST_MS)
        customer_queue.schedule.refund(flow, cost)
        customer_queue.schedule.insert(flow)
        schedule.refund(
            customer_queue, cost / self._weights.get(customer, 1.0)
        )
        if customer not in self._paused:
            schedule.insert(customer_queue)

    def pop(
        self,
        is_eligible: collections.abc.Callable[[str, str], bool],
        *,
        open_upstreams: collections.abc.Container[str] | None = None,
    ) -> tuple[str, QueuedTask] | None:
        """Remove and return the next task that may start.

        The cost grows with the logarithm of the numbers of customers
        and flows, and linearly with the customers for which
        ``is_eligible`` is false. To avoid the latter, pause customers that
        have reached their limit, and pass the upstreams with free slots.

        :param is_eligible: called with customer and upstream
        :param open_upstreams: upstreams to consider; ``None`` for all
        :returns: customer and task, or ``None`` if no task may start
        """
        for upstream in list(self._schedules):
            if open_upstreams is not None and upstream not in open_upstreams:
                continue
            popped = self._pop_upstream(upstream, is_eligible)
            if popped is not None:
                self._schedules.move_to_end(upstream)
                return popped
        return None

    def pause(self, customer: str) -> None:
        """Exclude a customer's tasks until :meth:`resume` is called."""
        self._paused.add(customer)
        for upstream, customer_queue in self._customer_queues.get(
            customer, {}
        ).items():
            self._schedules[upstream].discard(customer_queue)

    def resume(self, customer: str) -> None:
        """Include the tasks of a paused customer again."""
        if customer not in self._paused:
            return
        self._paused.discard(customer)
        for upstream, customer_queue in self._customer_queues.get(
            customer, {}
        ).items():
            if customer_queue.flows:
                self._schedules[upstream].insert(customer_queue)

    def remove(
        self, customer: str, flow_key: typing.Hashable
    ) -> list[QueuedTask]:
        """Remove a flow and return its tasks in order."""
        removed: list[QueuedTask] = []
        for upstream, customer_queue in self._customer_queues.get(
            customer, {}
        ).items():
            flow = customer_queue.flows.pop(flow_key, None)
            if flow is None:
                continue
            customer_queue.schedule.discard(flow)
            removed.extend(flow.tasks)
            if not customer_queue.flows:
                self._schedules[upstream].discard(customer_queue)
        self._add_to_count(customer, -len(removed))
        return removed

    def n_tasks(self, customer: str | None = None) -> int:
        """Return the number of waiting tasks of one customer or of all."""
        if customer is None:
            return self._n_total
        return self._n_tasks[customer]

    def customers(self) -> list[str]:
        """Return the customers with waiting tasks."""
        return list(self._n_tasks)

    def _add_to_count(self, customer: str, n_added: int) -> None:
        self._n_total += n_added
        n_tasks = self._n_tasks[customer] + n_added
        if n_tasks:
            self._n_tasks[customer] = n_tasks
        else:
            del self._n_tasks[customer]

    def _get_or_add_flow(
        self, customer: str, flow_key: typing.Hashable, upstream: str
    ) -> _Flow:
        schedule = self._schedules.get(upstream)
        if schedule is None:
            schedule = self._schedules[upstream] = _Schedule()
        customer_queues = self._customer_queues.setdefault(customer, {})
        customer_queue = customer_queues.get(upstream)
        if customer_queue is None:
            customer_queue = customer_queues[upstream] = _CustomerQueue(
                customer, schedule.virtual_time
            )
        if not customer_queue.flows:
            # A later start tag is kept, so that a customer with one task at
            # a time is not served first each time.
            customer_queue.start_tag = max(
                customer_queue.start_tag, schedule.virtual_time
            )
            if customer not in self._paused:
                schedule.insert(customer_queue)
        flow = customer_queue.flows.get(flow_key)
        if flow is None:
            flow = customer_queue.flows[flow_key] = _Flow(
                flow_key, customer_queue.schedule.virtual_time
            )
            customer_queue.schedule.insert(flow)
        return flow

    def _pop_upstream(
        self,
        upstream: str,
        is_eligible: collections.abc.Callable[[str, str], bool],
    ) -> tuple[str, QueuedTask] | None:
        schedule = self._schedules[upstream]
        skipped: list[tuple[float, int, _CustomerQueue]] = []
        popped = None
        while (customer_queue := schedule.peek()) is not None:
            entry = heapq.heappop(schedule.heap)
            if not is_eligible(customer_queue.customer, upstream):
                skipped.append(entry)
                continue
            popped = (
                customer_queue.customer,
                self._pop_task(schedule, customer_queue),
            )
            break
        for entry in skipped:
            heapq.heappush(schedule.heap, entry)
        return popped

    def _pop_task(
        self, schedule: _Schedule, customer_queue: _CustomerQueue
    ) -> QueuedTask:
        flow = customer_queue.schedule.peek()
        heapq.heappop(customer_queue.schedule.heap)
        task = flow.tasks.popleft()
        cost = max(task.cost_ms, _MIN_COST_MS)
        customer_queue.schedule.charge(flow, cost)
        schedule.charge(
            customer_queue,
            cost / self._weights.get(customer_queue.customer, 1.0),
        )
        if flow.tasks:
            customer_queue.schedule.insert(flow)
        else:
            customer_queue.schedule.discard(flow)
            del customer_queue.flows[flow.key]
        if customer_queue.flows:
            schedule.insert(customer_queue)
        else:
            schedule.discard(customer_queue)
        self._add_to_count(customer_queue.customer, -1)
        return task
