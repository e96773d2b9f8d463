"""
The program `millforkd`: parses the command line and runs the daemon.

"""

import sys

from absl import flags

from millfork_adapter.adapter import Adapter
from millfork_core.status import ExitStatus
from millforkd.cli.definition import FLAGS, USAGE
from millforkd.core import run

HELP = frozenset({'-h', '--help', 'help'})


def main(adapter: Adapter | None = None) -> None:
    """
    Parse the command line, run the daemon and exit with its status. With an adapter, the daemon
    belongs to a seeded fleet, else to a listed one (`millforkd.core` defines both).

    """
    if set(sys.argv[1:]) & HELP:
        print(USAGE)
        print(FLAGS.module_help('millforkd.cli.definition'))
        sys.exit(ExitStatus.SUCCESS)
    try:
        FLAGS(sys.argv)
    except flags.Error as error:
        print(f'millforkd: {error}', file=sys.stderr)
        sys.exit(ExitStatus.USAGE)
    sys.exit(run(FLAGS.settings, FLAGS.check, adapter))


if __name__ == '__main__':
    main()
