from orioleloom import engine
from orioleloom import model
from orioleloom_standins.virtual._callers import Callers
from orioleloom_standins.virtual._clock import Clock
from orioleloom_standins.virtual._entry import Entry
from orioleloom_standins.virtual._network import Network
from orioleloom_standins.virtual._network import PEER_DUPLICATE_DELAY_S
from orioleloom_standins.virtual._platform import Platform
from orioleloom_standins.virtual._processes import Processes
from orioleloom_standins.virtual._workers import Workers


class Effects:
    """Execute the effects that engines return on the simulated system."""

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        platform: Platform,
        workers: Workers,
        processes: Processes,
        callers: Callers,
    ):
        self.clock = clock
        self.network = network
        self.platform = platform
        self.workers = workers
        self.processes = processes
        self.callers = callers

    def carry_out(
        self, entry: Entry, incarnation: int, effect: engine.Effect
    ) -> None:
        """Execute one effect of a process.

        Replies are dropped if the process has restarted in the meantime.
        """

        def post(event: engine.Event) -> None:
            self.processes.post(entry, incarnation, event)

        match effect:
            case engine.Respond(request_id, answer):
                self.callers.respond(entry, incarnation, request_id, answer)
            case engine.WriteTable(token):

                def written(outcome: model.TableOutcome) -> None:
                    post(engine.TableDone(token, outcome))

                self.platform.write(entry.id, effect, written)
            case engine.ReadTable(token, keys):

                def found(rows: tuple[model.Row, ...] | None) -> None:
                    post(engine.RowsRead(token, rows))

                self.platform.read(entry.id, keys, found)
            case engine.SendTasks(_, worker_id):

                def offer() -> None:
                    self.workers.offer(
                        entry.id,
                        effect,
                        post,
                        lambda step: self.processes.step(entry, step),
                    )

                self.clock.at(self.network.delay_s(entry.id, worker_id), offer)
            case engine.CancelTasks(worker_id, _, keys):
                self.clock.at(
                    self.network.delay_s(entry.id, worker_id),
                    lambda: self.workers.cancel(worker_id, keys),
                )
            case engine.SendPeer():
                self._send_peer(entry, incarnation, effect)

    def _send_peer(
        self, entry: Entry, incarnation: int, effect: engine.SendPeer
    ) -> None:
        target = self.processes.by_id.get(effect.address)
        if target is None or not target.alive:
            return
        if self.network.is_cut(entry.id, target.id):
            return
        event = engine.PeerReceived(
            effect.message_id, f'{entry.id}/{incarnation}', effect.message
        )
        target_incarnation = target.incarnation
        delay_s = self.network.delay_s(entry.id, target.id)
        for index in range(self.network.peer_copies()):
            self.clock.at(
                delay_s + PEER_DUPLICATE_DELAY_S * index,
                lambda: self.processes.post(target, target_incarnation, event),
            )
