"""
Flags of `millforkd`.

"""

from typing import Final

from absl import flags

FLAGS: Final = flags.FLAGS
USAGE: Final = """millforkd: the daemon of millfork, in the role that its settings give.

usage: millforkd --settings=FILE [--check]

SIGTERM stops it once the requests in progress have ended; a second SIGTERM
stops it at once. Exit statuses: 0 stopped, 1 error, 2 usage, 3 bad settings.

flags:
"""

flags.DEFINE_string('settings', None, 'Path of the settings file (YAML).')
flags.DEFINE_bool('check', False, 'Check the settings file and exit.')
