"""
Whether a back end has ended, or only a connection to it broke off.

"""

from typing import Final

import curio

from millfork_core.logs import Part, logger
from millfork_core.sockets import connect

# A back end that ends closes its address within a few ms of its connections.
LOOK_AFTER_S: Final = 0.01
LOOK_TIMEOUT_S: Final = 0.4

log = logger(Part.ENDPOINT)


async def has_ended(host: str, port: int) -> bool:
    """
    Whether an address takes no connections any more; False also where it is silent.

    """
    await curio.sleep(LOOK_AFTER_S)
    try:
        async with curio.timeout_after(LOOK_TIMEOUT_S):
            sock = await connect(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, curio.TaskTimeout) as error:
        log.info('Not known whether the back end ended: {}.', type(error).__name__)
        return False
    await sock.close()
    return False
