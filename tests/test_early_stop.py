"""
A stop that comes while a daemon's modules are being imported.

A daemon that was told to stop then ended by a segmentation fault (2 of 60 stops, the
traceback ended in `msgspec.msgpack.Decoder(list[Lease])`): the handler raised SystemExit,
which unwound whatever was being imported, a library in C in the middle of its work too.

"""

import subprocess
import sys

from tests.fail_first import ROOT

# Sends the signal at the moment at which it did the harm.
STOPPED_IN_THE_MIDDLE = """
import os, runpy, signal, sys, types
import msgspec._utils as utils
# The library keeps the function that it calls, so its code is replaced.
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


def test_a_stop_in_the_middle_of_an_import_ends_a_daemon_well():
    done = subprocess.run(
        [sys.executable, '-c', STOPPED_IN_THE_MIDDLE],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, '', '')
