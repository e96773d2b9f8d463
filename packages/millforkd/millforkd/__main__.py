"""
Entry point of `millforkd`.

"""

import sys

from absl import app

from millforkd.cli.definition import FLAGS
from millforkd.core import run


def _main(argv: list[str]) -> int:
    return int(run(FLAGS.settings, FLAGS.check))


def main() -> None:
    """
    Parse flags and run the daemon.

    """
    sys.exit(app.run(_main))


if __name__ == '__main__':
    main()
