"""
Constants of the command line.

"""

from typing import Final

DEFAULT_ENTRY: Final = '127.0.0.1:8080'
DEFAULT_ADMIN: Final = '127.0.0.1:9400'
ADMIN_VARIABLE: Final = 'MILLFORK_ADMIN'
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
  route HOST PATH               show where a request would go now, and why, without
                                sending it (seeded fleets, --admin of an entry);
                                --api_key_file, --model, --prompt_tokens and --part
                                describe the request
  evacuations                   list the evacuated zones (seeded fleets, --admin)
  evacuate ZONE                 send nothing more to the back ends of a zone (seeded
                                fleets, --admin of a replica); --undo takes it back

examples:
  millfork check declaration.yaml
  millfork apply declaration.yaml --entries 10.1.0.1:8080,10.2.0.1:8080 --token_file token
  millfork status --watch
  millfork route api.example /v1/chat --prompt_tokens 900 --admin 10.1.0.1:9400
  millfork evacuate zone-a --admin 10.1.0.2:9400,10.2.0.2:9400

exit statuses: 0 done, 1 error, 2 usage, 3 bad settings, 4 bad declaration,
5 conflict with another operator, 6 refused, 7 no process reachable, 8 timed out
"""
