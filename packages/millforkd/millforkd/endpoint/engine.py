"""
Orders to the model engine, under a fencing number.

The endpoint is the only process that gives orders: it holds the wire port of
its address, so a second one can't run beside it, even beside a frozen one. A
new endpoint takes a number above the highest that the engine has seen; an
engine that refuses old numbers then refuses what a predecessor left on its
way.

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
STATUS_TIMEOUT_S: Final = 2.0
# Of a look whether it still lives.
LOOK_TIMEOUT_S: Final = 0.4
OK: Final = 200
REFUSED_ORDER: Final = 409

log = logger(Component.ENGINE)


@dataclass(slots=True)
class EngineStatus:
    """
    What the engine says of itself; `incarnation` changes with each start.

    """

    incarnation: str = ''
    fencing_number: int = 0
    loaded: list[str] = field(default_factory=list)


class OrderFailed(Exception):
    """
    The engine did not carry out an order.

    """


class Engine:
    """
    The order-giver of one engine.

    """

    def __init__(self, env: Environment, settings: BackendSettings, source: str) -> None:
        self.env = env
        self.settings = settings
        self.client = Client(*settings.address.pair, source=source)
        self.number = FencingNumber(0)
        self.status = EngineStatus()

    async def poll(self) -> bool:
        """
        Learn the engine's status; False if it does not answer.

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

    async def incarnation(self) -> str:
        """
        The engine's incarnation, as it tells it at this moment; empty without an answer.

        """
        try:
            response = await self.client.fetch('GET', '/status', [], timeout=LOOK_TIMEOUT_S)
            return msgspec.json.decode(response.body, type=EngineStatus).incarnation
        except (ExchangeFailed, msgspec.DecodeError) as error:
            log.debug('The engine tells no incarnation: {}.', error)
            return ''

    async def load(self, version: str, parts: list[dict[str, str]]) -> None:
        """
        Order the engine to load a version: base first, then adapters.

        :raises OrderFailed: if it did not.

        """
        await self._order({'action': 'load', 'version': version, 'parts': parts})

    async def unload(self, version: str) -> None:
        """
        Order the engine to drop a version.

        :raises OrderFailed: if it did not.

        """
        await self._order({'action': 'unload', 'version': version})

    async def _order(self, order: dict[str, Any]) -> None:
        body = msgspec.json.encode({'number': self.number, **order})
        try:
            response = await self.client.fetch('POST', '/orders', [], body, ORDER_TIMEOUT_S)
        except ExchangeFailed as error:
            self._count(order, 'unanswered')
            raise OrderFailed(str(error)) from error
        if response.status == REFUSED_ORDER:
            self._count(order, 'old_number')
            self.number = FencingNumber(0)
            raise OrderFailed('the engine has seen a higher fencing number')
        if response.status != OK:
            self._count(order, 'refused')
            raise OrderFailed(f'the engine answered {response.status}')
        self._count(order, 'done')
        log.info('Order {} {} is done.', order['action'], order['version'])

    def _count(self, order: dict[str, Any], outcome: str) -> None:
        self.env.metrics.count(self.env.metrics.orders, action=order['action'], outcome=outcome)
