"""
The admin port of a daemon: metrics, liveness and readiness.

"""

from collections.abc import Callable

from millfork_core.environment import Environment
from millfork_settings.seeded import SeededSettings
from millfork_state.view import View
from millfork_web.exchange import Exchange
from millfork_web.models import Response, json_response
from millfork_web.server import Server
from millforkd.evacuations import evacuated_since


class Admin:
    """
    The HTTP server on the admin port of a daemon of a seeded fleet.

    """

    def __init__(
        self, env: Environment, settings: SeededSettings, is_ready: Callable[[], bool]
    ) -> None:
        self.env = env
        self.is_ready = is_ready
        # Returns the body of the answer to `/evacuations`.
        self.list_evacuations: Callable[[], dict[str, object]] | None = None
        self.server = Server(
            str(settings.address), settings.ports.admin, self._answer, spawn=env.spawn
        )

    def show_evacuations(self, view: View, age_ms: Callable[[], int]) -> None:
        """
        Show the evacuated zones of a configuration, and the age of what this process knows.

        """
        self.list_evacuations = lambda: {
            'age_ms': age_ms(),
            'revision': int(view.revision),
            'evacuations': [
                {'zone': zone, 'since_ms': since_ms}
                for zone, since_ms in sorted(evacuated_since(view).items())
            ],
        }

    async def run(self) -> None:
        """
        Serve until cancelled.

        """
        await self.server.run()

    async def _answer(self, exchange: Exchange) -> None:
        if exchange.request.path == '/evacuations' and self.list_evacuations is not None:
            await exchange.respond(json_response(self.list_evacuations()))
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
