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


# Maximum number of address overrides that an instance keeps for peers
# that started during an outage of the platform.
MAX_PEER_ADDRESS_OVERRIDES = 1000


class ContractFlow:
    """Write contract changes to the table and distribute them to peers."""

    def __init__(self, core: Core, pending_reads: dict[str, tags.ReadTag]):
        self.core = core
        self.pending_reads = pending_reads
        self.has_contracts = False

    def put(self, event: events.PutContract) -> None:
        """Start a contract change by reading the current row."""
        core = self.core
        customer = event.contract.customer
        core.open_requests[event.request_id] = model.JobId(customer, '')
        token = core.new_token()
        self.pending_reads[token] = tags.ReadForContract(event)
        core.counters['table_reads'] += 1
        key = contracts.contract_key(customer)
        core.emit(effects.ReadTable(token, (key,)))

    def row_read(
        self,
        event: events.PutContract,
        rows: tuple[model.Row, ...] | None,
    ) -> None:
        """Write a contract change if the row has the expected version."""
        if rows is None:
            self._respond_error(
                event.request_id,
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'the table did not answer; the contract is unchanged',
                run=errors.RunStatus.NOT_RUN,
            )
            return
        row = rows[0] if rows else model.Row('', None, 0)
        current_version = self._version_of(row)
        if current_version != event.expected_version:
            self._respond_conflict(
                event.request_id, event.expected_version, row
            )
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
        core.claim_writer.add(
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
        """Process the outcome of a contract change."""
        match outcome:
            case claims.GroupCommitted():
                self.apply([tag.contract])
                body = contracts.to_value(tag.contract)
                self.core.respond(tag.request_id, model.Answer(200, body))
            case claims.GroupConflicted(rows):
                self._respond_conflict(
                    tag.request_id, tag.contract.version - 1, rows[0]
                )
            case claims.GroupTimedOut(may_be_written):
                run = (
                    errors.RunStatus.UNKNOWN
                    if may_be_written
                    else errors.RunStatus.NOT_RUN
                )
                self._respond_error(
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

    def _respond_conflict(
        self, request_id: int, expected_version: int, row: model.Row
    ) -> None:
        self._respond_error(
            request_id,
            errors.ErrorKind.CONTRACT_CONFLICT,
            f'the change was based on version {expected_version}, the '
            f'table has version {self._version_of(row)}',
            run=errors.RunStatus.NOT_RUN,
        )

    def _respond_error(
        self,
        request_id: int,
        kind: errors.ErrorKind,
        message: str,
        *,
        run: errors.RunStatus,
    ) -> None:
        error = errors.DispatchError(kind, message, run=run)
        status, body = errors.to_response(error)
        self.core.respond(request_id, model.Answer(status, {'error': body}))

    def rows_polled(self, rows: tuple[model.Row, ...]) -> None:
        """Apply contract rows read from the table."""
        self.has_contracts = True
        changed = []
        for row in rows:
            if row.value is None:
                continue
            try:
                changed.append(contracts.from_value(row.value))
            except errors.DispatchError:
                self.core.counters['malformed_contracts'] += 1
        self._apply_locally(self.core.contract_book.apply(changed))

    def apply(
        self, changed: list[model.Contract], *, sender: str = ''
    ) -> None:
        """Apply newer contracts and forward them to peers.

        :param sender: peer that sent the contracts; empty if this instance
            wrote them
        """
        newer = self.core.contract_book.apply(changed)
        self._apply_locally(newer)
        n_peers = len(self.core.members.peers())
        # Contracts from a peer are forwarded only if the fleet is too large
        # for one broadcast to reach every instance.
        if newer and (not sender or n_peers > PEER_FAN_OUT):
            self.core.broadcast(
                _contract_push(newer), exclude=sender.partition('/')[0]
            )

    def _apply_locally(self, newer: list[model.Contract]) -> None:
        for contract in newer:
            self.core.counters['contract_changes'] += 1
            self.core.limits.set_contract(contract, self.core.now_s)
            self.core.queue.set_weight(contract.customer, contract.weight)

    def push_received(self, sender: str, push: codec.ContractPush) -> None:
        """Apply contracts pushed by a peer."""
        received = []
        for _, _, value in push.contracts:
            try:
                received.append(contracts.from_value(value))
            except errors.DispatchError:
                self.core.counters['malformed_contracts'] += 1
        if received:
            self.has_contracts = True
        self.apply(received, sender=sender)

    def pull_received(self, sender: str, pull: codec.ContractPull) -> None:
        """Send a peer newer contracts and, on request, the member list."""
        core = self.core
        newer = core.contract_book.newer_than(pull.versions)
        if newer:
            core.send_to_address(sender, pull.reply_to, _contract_push(newer))
        if pull.with_members:
            if len(core.peer_address_overrides) < MAX_PEER_ADDRESS_OVERRIDES:
                core.peer_address_overrides[sender.partition('/')[0]] = (
                    pull.reply_to
                )
            listed = [*core.members.entry_instances(), *core.members.workers()]
            core.send_to_address(
                sender, pull.reply_to, codec.MembersPush(listed)
            )

    def pull_from_peers(self) -> None:
        """Request contracts from peers while the platform is unavailable.

        An instance that already has contracts asks one random peer after
        each failed poll. This makes up for lost pushes at a cost that
        does not depend on the size of the fleet.
        """
        core = self.core
        peers = core.members.peers()
        pull = codec.ContractPull(
            core.contract_book.versions(),
            core.settings.peer_address,
            with_members=not core.members.entry_instances(),
        )
        if self.has_contracts and peers:
            core.send_to_peer(core.random_state.choice(peers).id, pull)
        else:
            core.broadcast(pull)
        if not peers:
            for address in core.settings.seed_peers:
                core.send_to_address('', address, pull)


def _contract_push(changed: list[model.Contract]) -> codec.ContractPush:
    return codec.ContractPush(
        [(c.customer, c.version, contracts.to_value(c)) for c in changed]
    )
