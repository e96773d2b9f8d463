"""
Entry point of `millfork`.

"""

import sys
from pathlib import Path

from absl import flags

from millfork.cli.argtypes import BadArgument, parse_entries
from millfork.cli.constants import USAGE
from millfork.cli.definition import FLAGS
from millfork.core import run
from millfork.models import Arguments, Environment
from millfork_core.status import ExitStatus
from millfork_settings.errors import BadFile
from millfork_settings.loading import read_secret

HELP_ARGUMENTS = frozenset({'-h', '--help', 'help'})


def main() -> None:
    """
    Parse the command line, run the command and exit with its status.

    """
    if len(sys.argv) < 2 or sys.argv[1] in HELP_ARGUMENTS:
        print(USAGE)
        print('flags:')
        print(FLAGS.module_help('millfork.cli.definition'))
        sys.exit(ExitStatus.SUCCESS if len(sys.argv) > 1 else ExitStatus.USAGE)
    try:
        positional = FLAGS(sys.argv)
        arguments = _arguments(positional)
    except (flags.Error, BadArgument) as error:
        print(f'millfork: {error}', file=sys.stderr)
        sys.exit(ExitStatus.USAGE)
    except BadFile as error:
        print(error, file=sys.stderr)
        sys.exit(ExitStatus.USAGE)
    try:
        sys.exit(run(arguments, Environment()))
    except KeyboardInterrupt:
        sys.exit(ExitStatus.INTERRUPTED)


def _arguments(positional: list[str]) -> Arguments:
    token = read_secret(Path(FLAGS.token_file)).decode() if FLAGS.token_file else ''
    return Arguments(
        positional[1] if len(positional) > 1 else '',
        positional[2:],
        parse_entries(FLAGS.entries),
        token,
        FLAGS.organisation,
        FLAGS.expect,
        FLAGS.command_id,
        FLAGS.watch,
        FLAGS.timeout,
        FLAGS.undo,
        FLAGS.json,
        FLAGS.every,
        parse_entries(FLAGS.admin, '--admin'),
        read_secret(Path(FLAGS.api_key_file)).decode() if FLAGS.api_key_file else '',
        FLAGS.model,
        FLAGS.prompt_tokens,
        FLAGS.part,
    )


if __name__ == '__main__':
    main()
