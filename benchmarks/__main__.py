"""Run the short benchmarks in sequence.

The longer ones are run by name: ``capacity``, ``histories``, ``response``,
``soak`` and ``placement_policy``.
"""

import runpy

SHORT = (
    'benchmarks.placement_cost',
    'benchmarks.queueing_cost',
    'benchmarks.submit_cost',
    'benchmarks.worker_client',
)


def main() -> None:
    """Run each short benchmark as a script."""
    for name in SHORT:
        print(f'# python -m {name}', flush=True)
        runpy.run_module(name, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
