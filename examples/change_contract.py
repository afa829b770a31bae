"""Raise a customer's in-flight limit with compare-and-set.

Run it against an instance that has a contract for the customer::

    python examples/change_contract.py \
        --url http://127.0.0.1:8080 --customer harrowgate --add 2

The request contains the version that the change is based on. If another
operator has changed the contract since, the instance answers 409
``contract_conflict``; the program then reads the contract again and retries.
"""

import argparse
import sys

import httpx

MAX_TRIES = 5


def report(error: dict[str, str]) -> int:
    print(f'{error["code"]}: {error["message"]}', file=sys.stderr)
    return 7


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--url', default='http://127.0.0.1:8080')
    parser.add_argument('--customer', default='harrowgate')
    parser.add_argument('--add', type=int, default=1)
    arguments = parser.parse_args()
    url = f'{arguments.url}/v1/contracts/{arguments.customer}'
    with httpx.Client(timeout=10, trust_env=False) as http:
        for _ in range(MAX_TRIES):
            response = http.get(url)
            if response.status_code != 200:
                return report(response.json()['error'])
            contract = response.json()
            # A PUT takes the customer from the path, and the version as
            # ``expected_version``.
            del contract['customer']
            contract['expected_version'] = contract.pop('version')
            contract['in_flight'] += arguments.add
            response = http.put(url, json=contract)
            if response.status_code == 200:
                changed = response.json()
                print(
                    f'version {changed["version"]}: '
                    f'in_flight {changed["in_flight"]}'
                )
                return 0
            error = response.json()['error']
            code = report(error)
            # After "platform_unavailable" with "run": "unknown" the change
            # may have been committed, so only a conflict is retried.
            if error['code'] != 'contract_conflict':
                return code
    return 5


if __name__ == '__main__':
    sys.exit(main())
