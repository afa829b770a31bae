from orioleloom import claims
from orioleloom import codec
from orioleloom import contracts
from orioleloom.engine._core import Core
from orioleloom.engine._core import PEER_FAN_OUT
from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom.engine import _tags as tags
from orioleloom import errors
from orioleloom import model


# Instances that start during one outage, per peer that they ask.
MAX_UNLISTED = 1000


class ContractFlow:
    """Change contracts in the table and spread them to peers."""

    def __init__(self, core: Core, reads: dict[str, tags.ReadTag]):
        self.core = core
        self.reads = reads
        self.loaded = False

    def put(self, event: events.PutContract) -> None:
        """Handle an operator's change; the row is read first."""
        core = self.core
        customer = event.contract.customer
        core.requests[event.request_id] = model.JobId(customer, '')
        token = core.new_token()
        self.reads[token] = tags.ReadForContract(event)
        core.counters['table_reads'] += 1
        key = contracts.contract_key(customer)
        core.emit(effects.ReadTable(token, (key,)))

    def row_read(
        self,
        event: events.PutContract,
        rows: tuple[model.Row, ...] | None,
    ) -> None:
        """Take the row that a change is based on."""
        if rows is None:
            self._fail(
                event.request_id,
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'the table did not answer; the contract is unchanged',
                run=errors.Run.NOT_RUN,
            )
            return
        row = rows[0] if rows else model.Row('', None, 0)
        current = self._version_of(row)
        if current != event.expected_version:
            self._conflict(event.request_id, event.expected_version, row)
            return
        self._write(event, row.revision if row.value else 0)

    def _write(self, event: events.PutContract, revision: int) -> None:
        core = self.core
        contract = event.contract
        token = core.new_token()
        value = {**contracts.to_value(contract), 'token': token}
        history_key = contracts.history_key(
            contract.customer, contract.version
        )
        ops = (
            model.TableOp(
                'put',
                contracts.contract_key(contract.customer),
                value,
                revision,
            ),
            model.TableOp('put', history_key, value, 0),
        )
        core.writer.add(
            claims.WriteGroup(
                tags.ContractWrite(event.request_id, contract),
                token,
                ops,
                core.now_s + core.settings.claim_timeout_s,
            )
        )

    def write_done(
        self, tag: tags.ContractWrite, outcome: claims.GroupOutcome
    ) -> None:
        """Take the outcome of a change."""
        match outcome:
            case claims.GroupCommitted():
                self.apply([tag.contract])
                body = contracts.to_value(tag.contract)
                self.core.respond(tag.request_id, model.Answer(200, body))
            case claims.GroupConflicted(rows):
                self._conflict(
                    tag.request_id, tag.contract.version - 1, rows[0]
                )
            case claims.GroupGivenUp(may_be_written):
                run = (
                    errors.Run.UNKNOWN
                    if may_be_written
                    else errors.Run.NOT_RUN
                )
                self._fail(
                    tag.request_id,
                    errors.ErrorKind.PLATFORM_UNAVAILABLE,
                    'the table did not answer in time; read the contract '
                    'again to see whether the change took effect',
                    run=run,
                )

    def _version_of(self, row: model.Row) -> int:
        if row.value is None:
            return 0
        return contracts.from_value(row.value).version

    def _conflict(
        self, request_id: int, expected_version: int, row: model.Row
    ) -> None:
        self._fail(
            request_id,
            errors.ErrorKind.CONTRACT_CONFLICT,
            f'the change was based on version {expected_version}, the '
            f'table has version {self._version_of(row)}',
            run=errors.Run.NOT_RUN,
        )

    def _fail(
        self,
        request_id: int,
        kind: errors.ErrorKind,
        message: str,
        *,
        run: errors.Run,
    ) -> None:
        error = errors.DispatchError(kind, message, run=run)
        status, body = errors.to_answer(error)
        self.core.respond(request_id, model.Answer(status, {'error': body}))

    def rows_polled(self, rows: tuple[model.Row, ...]) -> None:
        """Take contract rows read from the table."""
        self.loaded = True
        changed = []
        for row in rows:
            if row.value is None:
                continue
            try:
                changed.append(contracts.from_value(row.value))
            except errors.DispatchError:
                self.core.counters['malformed_contracts'] += 1
        self._put_in_force(self.core.book.apply(changed))

    def apply(
        self, changed: list[model.Contract], *, sender: str = ''
    ) -> None:
        """Put newer contracts in force and pass them on to peers."""
        newer = self.core.book.apply(changed)
        self._put_in_force(newer)
        n_peers = len(self.core.members.peers())
        # A peer that received them from the origin need not hear again
        # unless the fleet is larger than one fan-out.
        if newer and (not sender or n_peers > PEER_FAN_OUT):
            self.core.broadcast(_push(newer), exclude=sender.partition('/')[0])

    def _put_in_force(self, newer: list[model.Contract]) -> None:
        for contract in newer:
            self.core.counters['contract_changes'] += 1
            self.core.limits.set_contract(contract, self.core.now_s)
            self.core.queue.set_weight(contract.customer, contract.weight)

    def push_received(self, sender: str, push: codec.ContractPush) -> None:
        """Take contracts from a peer."""
        received = []
        for _, _, value in push.contracts:
            try:
                received.append(contracts.from_value(value))
            except errors.DispatchError:
                self.core.counters['malformed_contracts'] += 1
        if received:
            self.loaded = True
        self.apply(received, sender=sender)

    def pull_received(self, sender: str, pull: codec.ContractPull) -> None:
        """Send contracts, and the member list if asked, to a peer."""
        core = self.core
        newer = core.book.newer_than(pull.versions)
        if newer:
            core.send_address(sender, pull.reply_to, _push(newer))
        if pull.with_members:
            if len(core.unlisted) < MAX_UNLISTED:
                core.unlisted[sender.partition('/')[0]] = pull.reply_to
            listed = [*core.members.entries(), *core.members.workers()]
            core.send_address(sender, pull.reply_to, codec.MembersPush(listed))

    def ask_peers(self) -> None:
        """Ask peers for contracts, since the platform is away.

        An instance that has contracts asks one random peer at each
        missed poll, which repeats a push that was lost and costs the
        same in a fleet of any size.
        """
        core = self.core
        peers = core.members.peers()
        pull = codec.ContractPull(
            core.book.versions(),
            core.settings.peer_address,
            with_members=not core.members.entries(),
        )
        if self.loaded and peers:
            core.send_peer(core.random_state.choice(peers).id, pull)
        else:
            core.broadcast(pull)
        if not peers:
            for address in core.settings.seed_peers:
                core.send_address('', address, pull)


def _push(changed: list[model.Contract]) -> codec.ContractPush:
    return codec.ContractPush(
        [(c.customer, c.version, contracts.to_value(c)) for c in changed]
    )
