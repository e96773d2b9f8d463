"""
Flags of `millfork`.

"""

import os
from typing import Final

from absl import flags

from millfork.cli.constants import DEFAULT_ENTRY, ENTRY_VARIABLE, TOKEN_VARIABLE

FLAGS: Final = flags.FLAGS

flags.DEFINE_string(
    'entries',
    os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY),
    f'Entries to send commands to: HOST:PORT, comma-separated (or {ENTRY_VARIABLE}).',
)
flags.DEFINE_string(
    'token_file',
    os.environ.get(TOKEN_VARIABLE),
    f"File with the operator's token (or {TOKEN_VARIABLE}).",
)
flags.DEFINE_string(
    'organisation', '', 'Organisation to act for, if the token does not determine it.'
)
flags.DEFINE_integer(
    'expect',
    None,
    'Refuse the change if its target was changed after this revision.',
    lower_bound=0,
)
flags.DEFINE_string(
    'command_id',
    '',
    'Id of the command. If it is sent again with the same id, the first answer is returned.',
)
flags.DEFINE_bool('watch', False, 'status: follow the rollouts until all instances serve.')
flags.DEFINE_float('timeout', 600.0, 'status --watch: seconds to follow.', lower_bound=0)
flags.DEFINE_bool('undo', False, 'drain: assign the instance new work again.')
flags.DEFINE_bool('json', False, 'Print JSON.')
flags.DEFINE_float('every', 2.0, 'explain: seconds per line of the output.', lower_bound=0.001)
