"""
Flags of `millfork`.

"""

import os
from typing import Final

from absl import flags

from millfork.cli.constants import (
    ADMIN_VARIABLE,
    DEFAULT_ADMIN,
    DEFAULT_ENTRY,
    ENTRY_VARIABLE,
    TOKEN_VARIABLE,
)

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
flags.DEFINE_bool(
    'undo', False, 'drain: assign the instance new work again. evacuate: take the zone back.'
)
flags.DEFINE_string(
    'admin',
    os.environ.get(ADMIN_VARIABLE, DEFAULT_ADMIN),
    'Admin ports of daemons of a seeded fleet, tried in turn: HOST:PORT, comma-separated '
    f'(or {ADMIN_VARIABLE}).',
)
flags.DEFINE_string('api_key_file', None, "route: file with the caller's API key.")
flags.DEFINE_string('model', '', 'route: the model that the request names.')
flags.DEFINE_string('prompt_tokens', '0', 'route: the number of tokens of the prompt.')
flags.DEFINE_multi_string('part', [], 'route: the id of a part of the prompt; once for each part.')
flags.DEFINE_bool('json', False, 'Print JSON.')
flags.DEFINE_float('every', 2.0, 'explain: seconds per line of the output.', lower_bound=0.001)
