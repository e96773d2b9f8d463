"""
Run scenario files: `python -m millfork_standins.scenario FILE ...`.

"""

import sys
import tempfile
from pathlib import Path

from millfork_core.status import ExitStatus
from millfork_standins.scenario.parser import ScenarioSyntaxError, parse
from millfork_standins.scenario.runner import Runner, ScenarioFailed


def main() -> int:
    """
    Run the files in order until one of them fails; return the exit status.

    """
    if len(sys.argv) < 2:
        print('usage: python -m millfork_standins.scenario FILE ...', file=sys.stderr)
        return ExitStatus.USAGE
    for name in sys.argv[1:]:
        print(f'== {name}')
        try:
            Runner(Path(tempfile.mkdtemp(prefix='millfork-scenario-'))).run(parse(Path(name)))
        except (ScenarioSyntaxError, ScenarioFailed) as error:
            print(f'{name}: {error}', file=sys.stderr)
            return ExitStatus.ERROR
    return ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(main())
