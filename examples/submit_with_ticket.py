"""Submit a job under a ticket and handle each possible outcome.

Run it against an instance that has a contract for the customer::

    python examples/submit_with_ticket.py \
        --url http://127.0.0.1:8080 --customer harrowgate \
        --upstream batching

The client fetches a ticket and submits the job under it. If the response is
lost, it retries under the same ticket, which never starts a task twice.
"""

import argparse
import sys

from orioleloom import client
from orioleloom import model


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--url', default='http://127.0.0.1:8080')
    parser.add_argument('--customer', default='harrowgate')
    parser.add_argument('--upstream', default='batching')
    arguments = parser.parse_args()
    caller = client.BlockingClient(
        [arguments.url], customer=arguments.customer, use_tickets=True
    )
    # The stand-in worker sleeps for work_ms; a real one reads its own
    # fields from the payload.
    tasks = [
        model.Task(
            'cure_time_lookup', {'work_ms': 80, 'mix': mix}, arguments.upstream
        )
        for mix in ('C30', 'C40', 'C50')
    ]
    try:
        answer = caller.submit(tasks, deadline_ms=10_000)
    except client.NotRunError as exc:
        # No task was started, so the job can be submitted again, also
        # under another id.
        print(f'not run: {exc}', file=sys.stderr)
        return 3
    except client.OutcomeUnknownError as exc:
        # Some tasks may have run. Check their effects before submitting
        # any of them under another id.
        unknown = exc.report['unknown'] if exc.report else 'all'
        print(f'outcome unknown of tasks {unknown}: {exc}', file=sys.stderr)
        return 4
    except client.JobFailedError as exc:
        print(f'failed: {exc}; {exc.report}', file=sys.stderr)
        return 1
    print(f'{answer.submission_id}: {answer.state}')
    for index, result in enumerate(answer.results):
        print(f'{index}: {result}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
