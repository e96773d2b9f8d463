"""
The admin port of a daemon: metrics, liveness and readiness, and the questions and orders of an
operator that a daemon of a seeded fleet adds.

"""

from collections.abc import Awaitable, Callable

from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_settings.seeded import SeededSettings
from millfork_state.view import View
from millfork_web.exchange import Exchange
from millfork_web.models import Request, Response, json_response
from millfork_web.problem import problem
from millfork_web.server import Server
from millforkd.evacuations import evacuated_since

# Answers a request, or raises `Refused`.
Handler = Callable[[Request], Awaitable[Response]]


class Admin:
    """
    The HTTP server on the admin port of a daemon of a seeded fleet.

    """

    def __init__(
        self, env: Environment, settings: SeededSettings, is_ready: Callable[[], bool]
    ) -> None:
        self.env = env
        self.is_ready = is_ready
        # By method and first segment of the path.
        self.handlers: dict[tuple[str, str], Handler] = {}
        self.server = Server(
            str(settings.address), settings.ports.admin, self._answer, spawn=env.spawn
        )

    def show_evacuations(self, view: View, age_ms: Callable[[], int]) -> None:
        """
        Show the evacuated zones of a configuration, and the age of what this process knows.

        """

        async def list_evacuations(request: Request) -> Response:
            evacuations = [
                {'zone': zone, 'since_ms': since_ms}
                for zone, since_ms in sorted(evacuated_since(view).items())
            ]
            return json_response(
                {'age_ms': age_ms(), 'revision': int(view.revision), 'evacuations': evacuations}
            )

        self.handlers['GET', 'evacuations'] = list_evacuations

    async def run(self) -> None:
        """
        Serve until cancelled.

        """
        await self.server.run()

    async def _answer(self, exchange: Exchange) -> None:
        request = exchange.request
        segment = request.path.partition('?')[0].removeprefix('/').partition('/')[0]
        handler = self.handlers.get((request.method, segment))
        if handler is not None:
            try:
                response = await handler(request)
            except Refused as error:
                self.env.metrics.refused(error.refusal.reason, 'admin')
                response = problem(error.refusal)
            await exchange.respond(response)
            return
        if segment in {known for _, known in self.handlers}:
            detail = f'this daemon does not answer {request.method} /{segment}'
            await exchange.respond(problem(Refusal(Reason.NOT_FOUND, detail=detail)))
            return
        await answer_admin(exchange, self.env, self.is_ready(), {})


async def answer_admin(
    exchange: Exchange, env: Environment, ready: bool, details: dict[str, object]
) -> None:
    """
    Answer one request to an admin port. `details` is added to the body of the answer to
    `/readyz`.

    """
    path = exchange.request.path
    if path == '/metrics':
        body, content_type = env.metrics.render()
        await exchange.respond(Response(200, [('content-type', content_type)], body))
        return
    if path == '/livez':
        await exchange.respond(json_response({'live': True}))
        return
    if path == '/readyz':
        state = {'ready': ready, **details}
        await exchange.respond(json_response(state, 200 if ready else 503))
        return
    await exchange.respond(json_response({'error': 'not found'}, 404))
