"""
The ports at which the daemons of a seeded fleet listen.

"""

from typing import Final

WIRE_PORT: Final = 7700
CONTROL_PORT: Final = 8000
CALLERS_PORT: Final = 8005
READY_PORT: Final = 8002
ENGINE_PORT: Final = 8001
