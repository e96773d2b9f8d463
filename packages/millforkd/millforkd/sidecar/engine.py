"""
Calls to the engine on this instance: requests for its state, transfers of pieces to and from its
staging area, and load orders.

"""

from dataclasses import replace
from enum import Enum
from typing import Final

import curio

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import InvalidMessage
from millfork_adapter.exchange import EngineReport
from millfork_core.clocks import elapsed_s
from millfork_core.logs import Component, logger
from millfork_web.client import MAX_BODY_BYTES, Client, ExchangeFailed, InvalidAnswer
from millfork_web.models import Request, Response

# Timeout of a call to the engine, in seconds. A sound engine may pause for up to two seconds, and
# then answers and carries out what it was told meanwhile.
CALL_TIMEOUT_S: Final = 2.5
# The largest report of an engine that is read. Reports have some kilobytes.
MAX_REPORT_BYTES: Final = 256 * 1024
# After an answer that can't be a report, the engine isn't asked for one for this many seconds.
PAUSE_AFTER_INVALID_S: Final = 1.0

log = logger(Component.ENGINE)


class OrderOutcome(Enum):
    """
    What became of a load order: the engine ACCEPTED or REFUSED it, or its answer doesn't tell
    (UNKNOWN), so that the engine may carry it out later.

    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class LocalEngine:
    """
    Calls the engine, one call at a time over one persistent connection, because each
    connection counts against the engine's connection limit. Only a load order doesn't wait for a
    call that the engine has not answered: the order may have to be there before a version ends.

    """

    def __init__(self, adapter: Adapter, client: Client) -> None:
        self.adapter = adapter
        self.client = client
        self.lock = curio.Lock()
        self.paused_until = float('-inf')

    async def _fetch(self, request: Request, max_bytes: int = MAX_BODY_BYTES) -> Response:
        async with self.lock:
            return await self._send(request, max_bytes)

    async def _send(self, request: Request, max_bytes: int = MAX_BODY_BYTES) -> Response:
        return await self.client.fetch(
            request.method, request.path, request.headers, request.body, CALL_TIMEOUT_S, max_bytes
        )

    async def report(self) -> EngineReport | None:
        """
        The engine's state; None if the engine does not answer, refuses, or sends an invalid
        report, or did so less than PAUSE_AFTER_INVALID_S ago with endless data.

        """
        if elapsed_s() < self.paused_until:
            return None
        try:
            response = await self._fetch(self.adapter.report_request(), MAX_REPORT_BYTES)
        except InvalidAnswer as error:
            self.paused_until = elapsed_s() + PAUSE_AFTER_INVALID_S
            log.warning('The engine sent data that is no report: {}.', error)
            return None
        except ExchangeFailed as error:
            log.debug('The engine did not answer the request for its report: {}.', error)
            return None
        if response.status != 200:
            log.warning('The engine refused the request for its report. status={}', response.status)
            return None
        try:
            report = self.adapter.read_report(response.body)
        except InvalidMessage as error:
            log.warning("The engine's report could not be parsed: {}.", error)
            return None
        head = self.adapter.read_answer_head(response.status, response.headers)
        if head.backpressure.invalid_headers:
            log.warning(
                'The backpressure headers of the engine could not be parsed. {}',
                head.backpressure.invalid_headers,
            )
        return replace(report, backpressure=head.backpressure)

    async def stage(self, model: str, index: int, data: bytes) -> bool:
        """
        Write one piece to the engine's staging area; False if the engine did not accept the
        piece.

        """
        try:
            response = await self._fetch(self.adapter.stage_piece_request(model, index, data))
        except ExchangeFailed as error:
            log.warning('Piece {} of {} was not staged: {}.', index, model, error)
            return False
        if response.status >= 300:
            log.warning('Piece {} of {} was not staged. status={}', index, model, response.status)
        return response.status < 300

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """
        Read one piece from the engine's staging area; None if the piece could not be read.

        """
        try:
            response = await self._fetch(self.adapter.read_staged_piece_request(model, index))
        except ExchangeFailed as error:
            log.debug('Staged piece {} of {} could not be read: {}.', index, model, error)
            return None
        return response.body if response.status == 200 else None

    async def load_layers(
        self, model: str, version: int, first: int, end: int, interrupts: bool
    ) -> OrderOutcome:
        """
        Tell the engine to load the layers `first` to `end` - 1, whose pieces have been staged.
        The engine lets running requests finish first, or ends them if `interrupts` is set.

        """
        try:
            response = await self._send(
                self.adapter.load_layers_request(model, version, first, end, interrupts)
            )
        except ExchangeFailed as error:
            log.warning(
                'The engine did not answer the order to load layers. '
                'model={} version={} layers={}-{} breaks_off={} detail={}',
                model,
                version,
                first,
                end,
                interrupts,
                error,
            )
            return OrderOutcome.UNKNOWN
        log.notice(
            'Ordered the engine to load layers. '
            'model={} version={} layers={}-{} breaks_off={} status={}',
            model,
            version,
            first,
            end,
            interrupts,
            response.status,
        )
        if response.status < 300:
            return OrderOutcome.ACCEPTED
        return OrderOutcome.REFUSED if response.status < 500 else OrderOutcome.UNKNOWN
