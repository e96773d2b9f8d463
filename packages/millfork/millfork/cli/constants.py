"""
Constants of the command line.

"""

from typing import Final

DEFAULT_ENTRY: Final = '127.0.0.1:8080'
ENTRY_VARIABLE: Final = 'MILLFORK_ENTRIES'
TOKEN_VARIABLE: Final = 'MILLFORK_TOKEN_FILE'
USAGE: Final = """millfork: put model weights onto the instances your labels select.

usage: millfork COMMAND [ARGUMENTS] [FLAGS]

commands:
  apply FILE                    accept a declaration (YAML)
  remove DEPLOYMENT             take a deployment out of service
  get [PREFIX]                  print the accepted configuration
  label INSTANCE KEY=VALUE ...  attach labels to an instance
  status                        show all rollouts; --watch follows them
  drain INSTANCE                assign an instance no new work; --undo reverts it
  check FILE                    validate settings or a declaration; needs no fleet
  explain LOG ...               count requests by outcome and time, from the logs of
                                entries; --every sets the interval in seconds

examples:
  millfork check declaration.yaml
  millfork apply declaration.yaml --entries 10.1.0.1:8080,10.2.0.1:8080 --token_file token
  millfork status --watch

exit statuses: 0 done, 1 error, 2 usage, 3 bad settings, 4 bad declaration,
5 conflict with another operator, 6 refused, 7 no entry reachable, 8 timed out
"""
