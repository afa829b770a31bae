import argparse
import contextlib
import json
import math
import typing

import trio

from orioleloom.cli import _exit
from orioleloom.cli import _processes
from orioleloom.cli import _settings
from orioleloom import load

HELP = 'run an open-loop load and compare response times with the ideal'
DESCRIPTION = (
    'Submits jobs at recorded or random times without waiting for earlier '
    'ones, and compares the response times with those of an ideal central '
    'queue that knows all run times and uses the same workers. With '
    '--embedded it starts a stand-in platform, stand-in workers and entry '
    'instances on loopback; otherwise the instances at --urls are used, '
    'whose workers must match the preset.'
)

# A new instance gets no share of the customers' limits until it has been
# listed for 5 s. A load that starts earlier would measure this delay too.
_WARM_UP_S = 6.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of ``load``."""
    _settings.add_urls(parser)
    _settings.add_switch(
        parser,
        '--embedded',
        help_text='start stand-ins and entry instances on loopback',
    )
    _settings.add_text(
        parser,
        '--preset',
        default='harrowgate',
        choices=tuple(load.PRESETS),
        help_text='preset of customers, workers and instances',
    )
    _settings.add_text(
        parser,
        '--arrival',
        default='poisson',
        choices=load.ARRIVALS,
        help_text='arrival process of the jobs',
    )
    for flag, default, low, high, help_text in (
        (
            '--jobs-per-s',
            None,
            0.01,
            10_000,
            'mean rate of jobs; excludes --utilisation-percent',
        ),
        (
            '--utilisation-percent',
            None,
            0.1,
            2_000,
            "mean percentage of the workers' capacity to use; default 60 "
            'if --jobs-per-s is not given',
        ),
        ('--load-duration-s', 30.0, 0.1, 3_600, 'time over which jobs arrive'),
        (
            '--wrong-percent',
            10.0,
            0,
            100,
            'percentage of tasks whose declared run time is wrong',
        ),
        (
            '--wrong-factor',
            5.0,
            1,
            1_000,
            'factor by which a wrong run time is too long or too short',
        ),
        (
            '--burst-factor',
            10.0,
            1,
            1_000,
            'rate in a burst relative to the rate outside',
        ),
        ('--burst-s', 1.0, 0.1, 600, 'length of a burst'),
        (
            '--burst-interval-s',
            10.0,
            0.1,
            3_600,
            "time from one burst's start to the next",
        ),
        ('--patience-s', 120.0, 0.1, 3_600, 'time to wait for an answer'),
    ):
        _settings.add_number(
            parser,
            flag,
            default=default,
            low=low,
            high=high,
            help_text=help_text,
        )
    for flag, default, high, help_text in (
        ('--seed', 1, 2**32, 'random seed of the load'),
        (
            '--entries',
            None,
            64,
            "number of entry instances; default: the preset's",
        ),
        ('--workers', None, 900, "number of workers; default: the preset's"),
    ):
        _settings.add_number(
            parser,
            flag,
            default=default,
            low=0 if flag == '--seed' else 1,
            high=high,
            integer=True,
            help_text=help_text,
        )
    _settings.add_switch(
        parser, '--use-tickets', help_text='submit under tickets'
    )
    for flag, help_text in (
        ('--replay', 'recorded load to submit instead of a random one'),
        ('--save-record', 'file to save the recorded load to'),
        ('--save-report', 'file to save the report to, as JSON'),
        ('--save-plot', 'PNG file for a plot (needs matplotlib)'),
    ):
        _settings.add_text(parser, flag, help_text=help_text)
    _settings.add_switch(parser, '--json', help_text='print JSON only')


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Run the load and print its report."""
    preset = load.PRESETS[arguments.preset]
    if arguments.workers is not None:
        preset = preset._replace(n_workers=arguments.workers)
    if arguments.entries is not None:
        preset = preset._replace(n_entries=arguments.entries)
    workers = preset.workers()
    try:
        record = _make_record(arguments, preset, workers)
        ideal_s = load.ideal_response_times(record, workers)
    except (OSError, ValueError) as exc:
        raise _exit.CommandError(_exit.ExitCode.USAGE, str(exc)) from exc
    if not record.arrivals:
        raise _exit.CommandError(
            _exit.ExitCode.USAGE,
            'the load has no jobs; increase its duration or its rate',
        )
    if arguments.save_record:
        record.save(arguments.save_record)
    try:
        results, counters, faults = trio.run(
            _run_load, arguments, preset, record
        )
    except _processes.ClusterError as exc:
        raise _exit.CommandError(_exit.ExitCode.UNREACHABLE, str(exc)) from exc
    report = load.make_report(
        record, workers, ideal_s, results, counters=counters
    )
    report['faults'] = faults
    if arguments.save_report:
        load.save_report(report, arguments.save_report)
    if arguments.save_plot:
        load.save_plot(ideal_s, results, arguments.save_plot)
    if arguments.json:
        print(json.dumps(report))
    else:
        print_report(report)
    if faults:
        return _exit.ExitCode.CHECK_FAILED
    return _exit.ExitCode.OK


def _make_record(
    arguments: argparse.Namespace,
    preset: load.Preset,
    workers: typing.Sequence[load.Worker],
) -> load.Record:
    if arguments.replay:
        return load.Record.load(arguments.replay)
    utilisation = arguments.utilisation_percent
    if utilisation is None and arguments.jobs_per_s is None:
        utilisation = 60.0
    return load.make_record(
        load.LoadOptions(
            customers=preset.customers,
            arrival=arguments.arrival,
            jobs_per_s=arguments.jobs_per_s,
            utilisation=None if utilisation is None else utilisation / 100,
            wrong_share=arguments.wrong_percent / 100,
            wrong_factor=arguments.wrong_factor,
            burst_factor=arguments.burst_factor,
            burst_s=arguments.burst_s,
            burst_interval_s=arguments.burst_interval_s,
            duration_s=arguments.load_duration_s,
            seed=arguments.seed,
        ),
        workers,
    )


def cluster_spec(preset: load.Preset) -> _processes.ClusterSpec:
    """Return a cluster with the preset's workers and instances.

    Both are spread evenly over the data centres.
    """
    n_data_centres = len(preset.data_centres)
    groups = []
    for index, data_centre in enumerate(preset.data_centres):
        speeds = preset.speeds()[index::n_data_centres]
        if speeds:
            groups.append(
                _processes.WorkerGroup(
                    data_centre,
                    preset.customers[0].upstream,
                    data_centre,
                    tuple(speeds),
                    preset.slots,
                    preset.connections,
                )
            )
    return _processes.ClusterSpec(
        tuple(groups),
        tuple(
            _processes.EntrySpec(
                f'entry-{index}', preset.data_centres[index % n_data_centres]
            )
            for index in range(preset.n_entries)
        ),
    )


def permissive_contracts(
    preset: load.Preset, workers: typing.Sequence[load.Worker]
) -> dict[str, dict[str, typing.Any]]:
    """Return contracts that do not limit the load below the capacity."""
    n_slots = sum(worker.slots for worker in workers)
    starts_per_s = math.ceil(load.capacity(workers) * 20)
    return {
        share.customer: {
            'in_flight': n_slots,
            'starts_per_s': starts_per_s,
            'burst': starts_per_s,
            'upstreams': [share.upstream],
            'weight': share.weight,
            'deadline_ms': 120_000,
        }
        for share in preset.customers
    }


async def _run_load(
    arguments: argparse.Namespace,
    preset: load.Preset,
    record: load.Record,
) -> tuple[list[load.JobResult], dict[str, typing.Any], list[str]]:
    async with contextlib.AsyncExitStack() as stack:
        cluster = None
        base_urls = arguments.urls
        if arguments.embedded:
            cluster = await stack.enter_async_context(
                _processes.Cluster(cluster_spec(preset))
            )
            contracts = permissive_contracts(preset, preset.workers())
            for customer, contract in contracts.items():
                await cluster.put_contract(customer, contract)
            await cluster.wait_for_contracts(contracts)
            await cluster.wait_ready()
            await trio.sleep(_WARM_UP_S)
            base_urls = list(cluster.entry_urls.values())
        before = await _read_counters(base_urls, cluster)
        results = await load.run_load(
            record,
            base_urls,
            patience_s=arguments.patience_s,
            use_tickets=arguments.use_tickets,
            random_state=arguments.seed,
        )
        after = await _read_counters(base_urls, cluster)
        faults = []
        if cluster is not None:
            starts = await cluster.count_starts()
            faults = [
                f'task {key} started {n_starts} times'
                for key, n_starts in sorted(starts.items())
                if n_starts > 1
            ]
    return (
        results,
        load.summarise_messages(before, after, record.n_tasks),
        faults,
    )


async def _read_counters(
    base_urls: typing.Sequence[str], cluster: _processes.Cluster | None
) -> dict[str, float]:
    """Return the counters of the instances.

    :param cluster: embedded cluster, whose platform adds the numbers of the
        instances' polls
    """
    counters = await load.read_counters(base_urls)
    if cluster is None:
        return counters
    return {**await cluster.count_polls(), **counters}


def print_report(report: dict[str, typing.Any]) -> None:
    """Print a report for an operator."""
    print(
        f'{report["jobs"]} jobs, {report["tasks"]} tasks in '
        f'{report["arrivals_s"]:g} s, utilisation {report["utilisation"]:.0%}'
    )
    print(f'outcomes: {report["outcomes"]}, refusals: {report["refusals"]}')
    print(f'{"":8}{"measured":>12}{"ideal":>12}{"ratio":>8}')
    for name, value in report['response_s'].items():
        ideal_s = report['ideal_s'][name]
        ratio = report['ratio_to_ideal'].get(name, math.nan)
        print(f'{name:8}{value:10.3f} s{ideal_s:10.3f} s{ratio:8.3f}')
    counts = report['messages']
    print(
        f'wasted messages per task: {counts["wasted_per_task"]:.4f}, tasks '
        f'per request to a worker: {counts["tasks_per_exchange"]:.2f}'
    )
    print(
        f'all messages per task: {counts["messages_per_task"]:.4f}, '
        'processor time of the instances per task: '
        f'{counts["processor_ms_per_task"]:.3f} ms'
    )
    if counts['missing_counters']:
        print(f'counters not found: {", ".join(counts["missing_counters"])}')
    for fault in report['faults']:
        print(f'fault: {fault}')
