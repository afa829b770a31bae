"""Measure the unit costs on which ``docs/CAPACITY.md`` is based.

Run as ``python -m benchmarks.capacity [--json FILE]``. Every figure is
measured on the real code at several sizes and repeated; the median and
the range are printed.
"""

import argparse
import collections.abc
import json
import pathlib
import time

from benchmarks import _slope
from benchmarks import _slope_claims
from benchmarks import _slope_control
from benchmarks import _slope_edge
from benchmarks import _slope_engine
from benchmarks import _slope_parts

Measure = collections.abc.Callable[[], list[_slope.Slope]]

AREAS: dict[str, tuple[Measure, ...]] = {
    'placement': (_slope_parts.placement,),
    'queueing': (_slope_parts.queueing,),
    'limits': (_slope_parts.limit_shares,),
    'membership': (_slope_control.members, _slope_control.message_sizes),
    'contracts': (_slope_control.contract_changes,),
    'claims': (_slope_claims.batching,),
    'engine': (_slope_engine.processor_time,),
    'memory': (_slope_engine.memory,),
    'edge': (_slope_edge.submissions, _slope_edge.exchanges),
    'idle': (_slope_edge.idle_process,),
}


def main() -> None:
    """Measure the selected areas and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--areas', nargs='*', choices=AREAS, default=[*AREAS])
    parser.add_argument('--json', type=pathlib.Path, metavar='FILE')
    options = parser.parse_args()
    began_s = time.monotonic()
    loads = [_slope_edge.load_average()]
    found = []
    for area in options.areas:
        for measure in AREAS[area]:
            slopes = measure()
            found += slopes
            for one in slopes:
                print(one.line(), flush=True)
        loads.append(_slope_edge.load_average())
    duration_s = time.monotonic() - began_s
    print(
        f'{duration_s:.0f} s; load average of the machine '
        f'{min(loads):.1f} to {max(loads):.1f}'
    )
    if options.json:
        report = {
            'duration_s': duration_s,
            'load_averages': loads,
            'slopes': [one._asdict() for one in found],
        }
        options.json.write_text(json.dumps(report, indent=1) + '\n')


if __name__ == '__main__':
    main()
