"""
A stand-in for a plain service that echoes requests and logs their execution.

"""

from typing import Final

import curio

from millfork_standins.execution_log import ExecutionLog
from millfork_standins.settings import ServiceSettings
from millfork_web.exchange import Exchange
from millfork_web.models import json_response
from millfork_web.server import Server

TURNED_AWAY: Final = 'turned_away'


class Service:
    """
    One plain service process; with `turns_away` it answers all requests with 503.

    """

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.log = ExecutionLog(settings.log)
        self.server = Server(*settings.listen.pair, self.handle)

    async def run(self) -> None:
        await self.server.run()

    async def handle(self, exchange: Exchange) -> None:
        request = exchange.request
        request_id = request.header('x-request-id')
        nonce = request.header('nonce')
        if self.settings.turns_away:
            self.log.write(kind=TURNED_AWAY, id=request_id)
            await exchange.respond(json_response({'error': 'busy'}, 503))
            return
        self.log.write(kind='begin', id=request_id, nonce=nonce, method=request.method)
        await curio.sleep(self.settings.answer_ms / 1000)
        self.log.write(kind='end', id=request_id, nonce=nonce, method=request.method)
        answer = {'method': request.method, 'path': request.path, 'nonce': nonce}
        response = json_response(answer)
        response.headers.append(('x-request-id', request_id))
        await exchange.respond(response)
