"""
What all seeded daemons share.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_settings.loading import read_secret
from millfork_settings.seeded import SeededSettings
from millfork_wire.connection import Handler
from millfork_wire.peers import Peers

# Without a key file the handshake proves only that a peer is a millforkd:
# the network between the instances must then be private.
PRIVATE_NETWORK_KEY: Final = b'millfork private network'


def peers_for(env: Environment, settings: SeededSettings, handler: Handler) -> Peers:
    """
    The connections of a seeded daemon.

    """
    key_file = settings.fleet_key_file
    return Peers(
        env,
        settings.role.value,
        str(settings.address),
        settings.ports.wire,
        read_secret(key_file) if key_file is not None else PRIVATE_NETWORK_KEY,
        handler,
        closes_silent=True,
    )
