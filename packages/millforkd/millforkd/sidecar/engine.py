"""
The engine on this instance: its state, its staged pieces, its orders.

"""

from dataclasses import replace
from typing import Final

import curio

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import BadCall
from millfork_adapter.exchange import EngineReport
from millfork_core.logs import Part, logger
from millfork_web.client import Client, ExchangeFailed
from millfork_web.models import Request, Response

# The engine is on the same instance, so a longer silence is a fault of it.
CALL_TIMEOUT_S: Final = 1.0

log = logger(Part.ENGINE)


class LocalEngine:
    """
    Calls to the engine, one at a time over one kept connection: each
    connection counts against the engine's cap.

    """

    def __init__(self, adapter: Adapter, client: Client) -> None:
        self.adapter = adapter
        self.client = client
        self.lock = curio.Lock()

    async def _fetch(self, request: Request) -> Response:
        async with self.lock:
            return await self.client.fetch(
                request.method, request.path, request.headers, request.body, CALL_TIMEOUT_S
            )

    async def report(self) -> EngineReport | None:
        """
        The engine's state; None if it does not answer.

        """
        try:
            response = await self._fetch(self.adapter.report_request())
        except ExchangeFailed as error:
            log.debug('No report from the engine: {}.', error)
            return None
        if response.status != 200:
            log.warning('The engine gives no report. status={}', response.status)
            return None
        try:
            report = self.adapter.read_report(response.body)
        except BadCall as error:
            log.warning('The report of the engine can not be read: {}.', error)
            return None
        head = self.adapter.read_answer(response.status, response.headers)
        if head.backpressure.unread:
            log.warning('The engine says what can not be read. {}', head.backpressure.unread)
        return replace(report, backpressure=head.backpressure)

    async def stage(self, model: str, index: int, data: bytes) -> bool:
        """
        Lay one piece where the engine takes it from.

        """
        try:
            response = await self._fetch(self.adapter.stage_request(model, index, data))
        except ExchangeFailed as error:
            log.warning('Piece {} of {} not staged: {}.', index, model, error)
            return False
        return response.status < 300

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """
        The piece that lies there; None if there is none.

        """
        try:
            response = await self._fetch(self.adapter.staged_request(model, index))
        except ExchangeFailed as error:
            log.debug('Piece {} of {} not read back: {}.', index, model, error)
            return None
        return response.body if response.status == 200 else None

    async def start(self, model: str, version: int, first: int, end: int, interrupts: bool) -> bool:
        """
        Order the engine to take layers from what lies there, once what runs
        has ended or by breaking it off; False if it did not begin.

        """
        try:
            response = await self._fetch(
                self.adapter.start_request(model, version, first, end, interrupts)
            )
        except ExchangeFailed as error:
            log.warning('No answer to the order to start {} {}: {}.', model, version, error)
            return False
        log.notice(
            'Ordered the engine to start. model={} version={} layers={}-{} breaks_off={} status={}',
            model,
            version,
            first,
            end,
            interrupts,
            response.status,
        )
        return response.status < 300
