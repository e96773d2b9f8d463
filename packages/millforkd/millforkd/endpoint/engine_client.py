"""
Sends load and unload orders to the model engine, each with a fencing number.

Only the endpoint daemon sends these orders. The daemon keeps the wire port of its address bound, so
a second daemon can't run at the same address, even while the first is frozen. A new daemon process
takes a number above the highest that the engine has seen, so an engine that refuses lower numbers
refuses late orders of the previous process.

"""

from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import FencingNumber
from millfork_core.logs import Component, logger
from millfork_settings.models import BackendSettings
from millfork_web.client import Client, ExchangeFailed

ORDER_TIMEOUT_S: Final = 120.0
# A sound engine may pause for two seconds.
STATUS_TIMEOUT_S: Final = 3.0
# Timeout of the query for the incarnation, which shows whether the engine is still alive.
PROBE_TIMEOUT_S: Final = 0.4
OK_STATUS: Final = 200
REFUSED_ORDER_STATUS: Final = 409

log = logger(Component.ENGINE)


@dataclass(slots=True)
class EngineStatus:
    """
    The status that the engine reports. `incarnation` changes with each start of the engine,
    `fencing_number` is the highest that the engine has seen, `loaded` lists the loaded versions.

    """

    incarnation: str = ''
    fencing_number: int = 0
    loaded: list[str] = field(default_factory=list)


class OrderFailed(Exception):
    """
    Raised when the engine did not confirm a load or unload order.

    """


class EngineClient:
    """
    Polls the status of one engine and sends it load and unload orders.

    """

    def __init__(self, env: Environment, settings: BackendSettings, source: str) -> None:
        self.env = env
        self.settings = settings
        self.client = Client(*settings.address.pair, source=source)
        # The fencing number of the orders that are sent; 0 (none) until a poll succeeds, and again
        # after the engine refused an order because it has seen a higher number.
        self.number = FencingNumber(0)
        self.status = EngineStatus()

    async def poll(self) -> bool:
        """
        Fetch the engine's status and return whether a valid answer arrived; without one, `status`
        becomes empty. If this client has no fencing number yet, it takes the number one above the
        highest that the engine has seen.

        """
        try:
            response = await self.client.fetch('GET', '/status', [], timeout=STATUS_TIMEOUT_S)
            self.status = msgspec.json.decode(response.body, type=EngineStatus)
        except (ExchangeFailed, msgspec.DecodeError):
            self.status = EngineStatus()
            return False
        if self.status.fencing_number >= self.number and not self.number:
            self.number = FencingNumber(self.status.fencing_number + 1)
        return True

    async def query_incarnation(self) -> str:
        """
        Return the incarnation that the engine reports now, or '' if there is no valid answer.

        """
        try:
            response = await self.client.fetch('GET', '/status', [], timeout=PROBE_TIMEOUT_S)
            return msgspec.json.decode(response.body, type=EngineStatus).incarnation
        except (ExchangeFailed, msgspec.DecodeError) as error:
            log.debug('Could not fetch the incarnation of the engine: {}.', error)
            return ''

    async def load(self, version: str, parts: list[dict[str, str]]) -> None:
        """
        Tell the engine to load a version. `parts` lists the base model first, then the adapters.

        :raises OrderFailed: if the engine did not confirm that it loaded the version.

        """
        await self._order({'action': 'load', 'version': version, 'parts': parts})

    async def unload(self, version: str) -> None:
        """
        Tell the engine to unload a version.

        :raises OrderFailed: if the engine did not confirm that it unloaded the version.

        """
        await self._order({'action': 'unload', 'version': version})

    async def _order(self, order: dict[str, Any]) -> None:
        body = msgspec.json.encode({'number': self.number, **order})
        try:
            response = await self.client.fetch('POST', '/orders', [], body, ORDER_TIMEOUT_S)
        except ExchangeFailed as error:
            self._count(order, 'unanswered')
            raise OrderFailed(str(error)) from error
        if response.status == REFUSED_ORDER_STATUS:
            self._count(order, 'old_number')
            self.number = FencingNumber(0)
            raise OrderFailed('the engine has seen a higher fencing number')
        if response.status != OK_STATUS:
            self._count(order, 'refused')
            raise OrderFailed(f'the engine answered {response.status}')
        self._count(order, 'done')
        log.info('Order {} {} is done.', order['action'], order['version'])

    def _count(self, order: dict[str, Any], outcome: str) -> None:
        self.env.metrics.count(self.env.metrics.orders, action=order['action'], outcome=outcome)
