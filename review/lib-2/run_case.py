"""
Runs the script of one case: `python3 run_case.py FOLDER`.

The folder has a `case.py` with a function `run(folder, note)`, which plays the case with its files in
a temporary folder and returns whether the rule was broken. Exits with 1 if it was, with 0 if the rule
held and with 2 if the case couldn't run.

"""

import importlib.util
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
DEPENDENCIES: Final = ROOT / 'target' / 'deps'
# A case that isn't over by then has failed to run. It may take 120 s at most.
TIMEOUT_S: Final = 105
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

Note = Callable[[str], None]


def use_sources() -> None:
    """
    Import the project from this checkout, and its libraries from where the deploy file builds them.
    The daemons find the libraries by PYTHONPATH, as on the platform.

    """
    sources = [ROOT / 'platform', *sorted((ROOT / 'packages').iterdir())]
    sys.path[:0] = [str(Path(__file__).parent), *map(str, sources), str(DEPENDENCIES)]
    os.environ['PYTHONPATH'] = str(DEPENDENCIES)
    os.chdir(ROOT)


def raise_timeout(number: int, frame: object) -> None:
    raise TimeoutError(f'the case took over {TIMEOUT_S} s')


def play(case_folder: Path, note: Note) -> int:
    files = Path(tempfile.mkdtemp(prefix='case-'))
    try:
        use_sources()
        spec = importlib.util.spec_from_file_location('case', case_folder / 'case.py')
        case = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(case)
        return EXIT_BROKEN if case.run(files, note) else EXIT_HELD
    except BaseException as error:
        note(f'the case could not run: {error!r}')
        traceback.print_exc()
        return EXIT_NOT_RUN
    finally:
        if os.environ.get('KEEP'):
            print(files)
        else:
            shutil.rmtree(files, ignore_errors=True)


def main() -> None:
    case_folder = Path(sys.argv[1]).resolve()
    started_at = time.monotonic()
    with (case_folder / 'record.txt').open('w') as record:

        def note(text: str) -> None:
            record.write(f'{time.monotonic() - started_at:8.3f} {text}\n')
            record.flush()

        signal.signal(signal.SIGALRM, raise_timeout)
        signal.alarm(TIMEOUT_S)
        status = play(case_folder, note)
        note(f'exit status {status}')
    # Threads of the stand-ins may still wait.
    os._exit(status)


main()
