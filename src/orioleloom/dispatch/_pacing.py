# A turn of the event loop should not take longer. Replies to heartbeats wait
# for up to three turns, and count for 0.6 s.
_MAX_TURN_S = 0.015
# A loop that was idle for more than this share of a long turn is not behind.
_MAX_IDLE_SHARE = 0.1
# Bounds of the limit on the starts of one round. Above the upper one, there is
# no limit.
_MIN_STARTS = 4
_MAX_STARTS = 256
# A job is refused if the starts that wait before it take longer. It is less
# than the time that callers with the shortest objectives allow for the queue.
_MAX_BACKLOG_S = 0.03
# A job with a later objective is refused only if they take longer than this
# share of the time that it can wait.
_MAX_SLACK_SHARE = 0.1
# Weight of the latest round in the rate of starts.
_RATE_WEIGHT = 0.2


class StartPacer:
    """Limits the starts of a placement round by the leader's processor.

    A start causes work in the following turns of the event loop. A leader
    that starts all that fits on the workers may be late for its followers,
    which then turn to another one. The limit falls while turns are too long
    and rises while they are not, like the window of a connection.
    """

    def __init__(self) -> None:
        # Starts in one round; ``None`` means no limit.
        self.max_starts: int | None = None
        self._n_last_starts = 0
        self._last_round_s = 0.0
        self._starts_per_s = 0.0
        # Tasks that were left waiting by a round because of the limit, and
        # those that came after it; 0 if the last round was not limited.
        self._n_waiting = 0

    def observe_turn(self, duration_s: float, idle_s: float) -> None:
        """Adapt the limit to a turn of the event loop.

        :param idle_s: how long the loop was idle before the turn
        """
        if duration_s > _MAX_TURN_S and idle_s < _MAX_IDLE_SHARE * duration_s:
            n_starts = self._n_last_starts
            if self.max_starts is not None:
                n_starts = min(n_starts, self.max_starts)
            factor = max(0.5, _MAX_TURN_S / duration_s)
            self.max_starts = max(_MIN_STARTS, int(n_starts * factor))
        elif self.max_starts is not None:
            self.max_starts += 1
            if self.max_starts > _MAX_STARTS:
                self.max_starts = None

    def record_round(
        self, n_starts: int, n_waiting_tasks: int, now_s: float
    ) -> None:
        """Record a placement round.

        :param n_waiting_tasks: tasks that the round has left waiting
        """
        self._n_last_starts = n_starts
        elapsed_s = now_s - self._last_round_s
        self._last_round_s = now_s
        if not self.is_limit_reached(n_starts):
            self._n_waiting = 0
            return
        if elapsed_s > 0:
            rate = n_starts / elapsed_s
            weight = _RATE_WEIGHT if self._starts_per_s else 1.0
            self._starts_per_s += weight * (rate - self._starts_per_s)
        self._n_waiting = n_waiting_tasks

    def is_limit_reached(self, n_starts: int) -> bool:
        """Return whether a round may not make more than so many starts."""
        return self.max_starts is not None and n_starts >= self.max_starts

    def add_waiting(self, n_tasks: int) -> None:
        """Record tasks that have been queued since the last round."""
        if self._n_waiting:
            self._n_waiting += n_tasks

    def is_overloaded(self, slack_s: float = 0.0) -> bool:
        """Return whether a new job would wait too long for the leader.

        :param slack_s: how long the job can wait and meet its objective
        """
        max_backlog_s = max(_MAX_BACKLOG_S, _MAX_SLACK_SHARE * slack_s)
        return (
            self._starts_per_s > 0
            and self._n_waiting > max_backlog_s * self._starts_per_s
        )
