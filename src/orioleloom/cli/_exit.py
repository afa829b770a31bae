import enum


class ExitCode(enum.IntEnum):
    """Exit codes of every command."""

    OK = 0
    JOB_FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    OUTCOME_UNKNOWN = 4
    CONFLICT = 5
    UNREACHABLE = 6
    REFUSED = 7
    CHECK_FAILED = 8


MEANINGS = {
    ExitCode.OK: 'done',
    ExitCode.JOB_FAILED: 'the job failed; the outcome of each task is known',
    ExitCode.USAGE: 'a flag, an environment variable or a file is wrong',
    ExitCode.NOT_RUN: 'the job did not run and never will under this id',
    ExitCode.OUTCOME_UNKNOWN: 'tasks of the job may have run',
    ExitCode.CONFLICT: 'another operator changed the contract first',
    ExitCode.UNREACHABLE: 'no instance could be reached',
    ExitCode.REFUSED: 'an instance refused the request',
    ExitCode.CHECK_FAILED: 'demo or load: a check of the run failed',
}


def epilog() -> str:
    """Return the exit codes and their meanings for ``--help``."""
    lines = [f'  {code.value}  {MEANINGS[code]}' for code in ExitCode]
    return 'exit codes:\n' + '\n'.join(lines)


class CommandError(Exception):
    """Error that ends a command with an exit code and a message."""

    def __init__(self, code: ExitCode, message: str):
        super().__init__(message)
        self.code = code
        self.message = message
