import collections.abc

from orioleloom import model


class ContractBook:
    """The newest known contract of each customer.

    A contract may arrive from the table, in a push from a peer or in a
    peer's answer, in any order and more than once. A version that is
    not greater than the known one is ignored, so that a customer never
    goes back to an older contract.

    >>> book = ContractBook()
    >>> first = model.Contract('acme', 1, 8, 10.0, 8, ('gpu',))
    >>> [contract.version for contract in book.apply([first, first])]
    [1]
    """

    def __init__(self):
        self._contracts: dict[str, model.Contract] = {}

    def apply(
        self, contracts: collections.abc.Iterable[model.Contract]
    ) -> list[model.Contract]:
        """Apply contracts, ignoring versions that are not newer.

        :returns: the contracts that are newly in force, at most one per
            customer
        """
        changed: dict[str, model.Contract] = {}
        for contract in contracts:
            current = self._contracts.get(contract.customer)
            if current is None or contract.version > current.version:
                self._contracts[contract.customer] = contract
                changed[contract.customer] = contract
        return list(changed.values())

    def get(self, customer: str) -> model.Contract | None:
        """Return the contract in force, or ``None`` when unknown."""
        return self._contracts.get(customer)

    def all(self) -> list[model.Contract]:
        """Return the contracts in force, sorted by customer."""
        return [self._contracts[name] for name in sorted(self._contracts)]

    def versions(self) -> dict[str, int]:
        """Return the version in force of each customer."""
        return {
            name: contract.version
            for name, contract in self._contracts.items()
        }

    def newer_than(self, versions: dict[str, int]) -> list[model.Contract]:
        """Return the contracts in force that are newer than ``versions``.

        :param versions: known version of each customer
        """
        return [
            contract
            for contract in self.all()
            if contract.version > versions.get(contract.customer, 0)
        ]
