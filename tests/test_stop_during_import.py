"""
A daemon that gets a stop signal while its modules are being imported exits cleanly.

A signal handler that raised SystemExit interrupted a C library in the middle of a call, and the
daemon ended with a segmentation fault (2 of 60 stops, in `msgspec.msgpack.Decoder(list[Lease])`).

"""

import subprocess
import sys

from tests.fail_first import ROOT

# Runs a daemon that sends itself the stop signal at the point of its imports where the crash was.
STOP_DURING_IMPORT = """
import os, runpy, signal, sys, types
import msgspec._utils as utils
# msgspec holds a reference to the function, so the function's code is replaced.
found = utils.get_class_annotations
utils.before = types.FunctionType(found.__code__, utils.__dict__)
utils.stop = lambda: os.kill(os.getpid(), signal.SIGTERM)
def annotations(obj):
    if obj.__name__ != 'Lease':
        return before(obj)
    try:
        stop()
        return before(obj)
    finally:
        print('unwound')
found.__code__ = annotations.__code__
sys.argv = ['millforkd']
runpy.run_path('deploy/millforkd.py', run_name='__main__')
"""


def test_a_stop_during_an_import_exits_cleanly():
    done = subprocess.run(
        [sys.executable, '-c', STOP_DURING_IMPORT],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, '', '')
