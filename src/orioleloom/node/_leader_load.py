from orioleloom import dispatch
from orioleloom.node import _log
from orioleloom.node import _loop_monitor

_LOG_INTERVAL_S = 1.0
# A time-out that is noticed this long after it was due has passed while the
# event loop was busy, so that an answer may have arrived in time.
_LATE_TIMEOUT_S = 0.01


class LeaderLoad:
    """Measures how far a leader falls behind its work, and logs it.

    :param loop_monitor: monitor of the event loop that the leader runs in
    :param now_s: when the leader began to lead
    """

    def __init__(
        self, loop_monitor: _loop_monitor.LoopMonitor, now_s: float
    ) -> None:
        self.loop_monitor = loop_monitor
        self._logged_s = now_s
        self._logged_totals = loop_monitor.totals
        self._n_messages = 0
        self._n_timeouts = 0
        self._n_late_timeouts = 0
        self._reply_age_s = 0.0

    def record_message(self) -> None:
        """Record a message of a follower."""
        self._n_messages += 1

    def record_reply(self, age_s: float) -> None:
        """Record the reply to a heartbeat.

        :param age_s: time since the heartbeat was sent, which includes the
            time that the reply has waited here
        """
        self._reply_age_s = max(self._reply_age_s, age_s)

    def record_timeout(self, due_s: float, now_s: float) -> None:
        """Record a request to a worker that has timed out.

        :param due_s: when the time-out was due
        """
        self._n_timeouts += 1
        if now_s - due_s > _LATE_TIMEOUT_S:
            self._n_late_timeouts += 1

    def log_if_due(
        self, dispatcher: dispatch.Dispatcher, n_followers: int, now_s: float
    ) -> None:
        """Log the load since the last line, about once a second."""
        elapsed_s = now_s - self._logged_s
        if elapsed_s < _LOG_INTERVAL_S:
            return
        totals = self.loop_monitor.totals
        unstarted_s = [
            job.arrived_s
            for job in dispatcher.jobs.values()
            if job.first_start_s is None
        ]
        _log.log(
            'leader_load',
            busy_share=round(
                (totals.busy_s - self._logged_totals.busy_s) / elapsed_s, 3
            ),
            turn_ms=_to_ms(totals.mean_turn_s(self._logged_totals)),
            longest_turn_ms=_to_ms(self.loop_monitor.take_longest_s()),
            reply_age_ms=_to_ms(self._reply_age_s),
            n_messages=self._n_messages,
            n_timeouts=self._n_timeouts,
            n_late_timeouts=self._n_late_timeouts,
            n_followers=n_followers,
            n_jobs=len(dispatcher.jobs),
            n_starts_near=dispatcher.counters['starts_near'],
            n_starts_far=dispatcher.counters['starts_far'],
            **dispatcher.placement.order.state(),
            n_unstarted=len(unstarted_s),
            oldest_unstarted_ms=_to_ms(
                now_s - min(unstarted_s, default=now_s)
            ),
        )
        self._logged_s = now_s
        self._logged_totals = totals
        self._n_messages = 0
        self._n_timeouts = 0
        self._n_late_timeouts = 0
        self._reply_age_s = 0.0


def _to_ms(duration_s: float) -> float:
    return round(1000 * duration_s, 1)
