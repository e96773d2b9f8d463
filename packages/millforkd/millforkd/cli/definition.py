"""
Flags of `millforkd`.

"""

from typing import Final

from absl import flags

FLAGS: Final = flags.FLAGS

flags.DEFINE_string('settings', None, 'Path of the settings file (YAML).')
flags.DEFINE_bool('check', False, 'Check the settings file and exit.')
