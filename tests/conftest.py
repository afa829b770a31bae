import pathlib

_KNOWN_FAILURES_FILE = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'


def known_red() -> set[str]:
    """Return the node ids of the tests in the known-failures file."""
    if not _KNOWN_FAILURES_FILE.exists():
        return set()
    lines = _KNOWN_FAILURES_FILE.read_text().splitlines()
    return {line for line in lines if line.startswith('tests/')}


def pytest_collection_modifyitems(config, items):
    listed = known_red()
    # A node id on the command line turns deselection off.
    if not listed or any('::' in argument for argument in config.args):
        return
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter):
    for node_id in sorted(known_red()):
        terminalreporter.write_line(f'known red, passed over: {node_id}')
