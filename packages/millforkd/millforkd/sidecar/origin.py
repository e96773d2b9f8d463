"""
Fetches weights from the origin (the weight store), in pieces.

"""

from collections.abc import Callable
from typing import Final

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import InvalidMessage
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_routing.documents import Document, EngineSpec, OriginSpec
from millfork_web.client import MAX_BODY_BYTES, Client, ExchangeFailed, InvalidAnswer
from millfork_web.models import Request
from millforkd.sidecar.digest_checks import PieceSource
from millforkd.sidecar.pieces import PieceSet, WeightsId
from millforkd.sidecar.verification import store_if_valid

# Timeout of a request to the origin, in seconds. A piece takes 0.03 s at the origin's
# 7.3 Mbit/s, and a dozen pieces may be queued there. An origin that is silent for longer is
# down, and may be back at any moment.
ORIGIN_TIMEOUT_S: Final = 1.0
# After a failed request, no request is sent for this many seconds: enough not to flood an
# origin that comes back, and short compared with the second for which an origin may be up
# before the next failure.
PAUSE_AFTER_FAILURE_S: Final = 0.1
# The same after data that can't be an answer: it uses the link of the origin, and is no sign of an
# origin that is just starting.
PAUSE_AFTER_INVALID_S: Final = 1.0
# The greatest size of an answer beyond the pieces or digests in it, and of one digest in a list.
ANSWER_MARGIN_BYTES: Final = 64 * 1024
MAX_DIGEST_BYTES: Final = 256

log = logger(Component.WEIGHTS)


def find_origin(document: Document | None) -> OriginSpec | None:
    """
    The origin that a document sets for its services (that of the first service with one); None
    if there is no document or no origin in it.

    """
    if document is None:
        return None
    return next((service.origin for service in document.services if service.origin), None)


def find_engine(document: Document | None) -> EngineSpec | None:
    """
    The engines of the service whose origin `find_origin` returns; None if there are none.

    """
    if document is None:
        return None
    return next((service.engine for service in document.services if service.origin), None)


class Origin:
    """
    Fetches pieces and digests from the origin that the current document sets.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        source: str,
        spec: Callable[[], OriginSpec | None],
        engine: Callable[[], EngineSpec | None],
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.source = source
        self.current_spec = spec
        self.current_engine = engine
        self.client: Client | None = None
        self.paused_until = float('-inf')
        # Whether the last request got no answer. A failure is logged only when this changes.
        self.failing = False

    async def fetch_piece(self, held: PieceSet, index: int) -> bytes | None:
        """
        Fetch one piece into `held` and return the piece; None if no valid piece was received, or if
        the same content was refused before and it is too early to try again.

        """
        weights = held.weights
        started_at = self.env.monotonic()
        checks = held.digest_checks
        if checks.is_doubtful(index, PieceSource.ORIGIN) and not checks.may_ask(started_at):
            return None
        data = await self._fetch(self.adapter.piece_request(weights.model, weights.version, index))
        log.debug(
            'Piece fetched from the origin. weights={} index={} got={} ms={:.0f}',
            weights,
            index,
            data is not None,
            (self.env.monotonic() - started_at) * 1000,
        )
        if data is None:
            return None

        async def request_digests() -> tuple[str, ...]:
            return await self._request_digests(weights)

        good = await store_if_valid(
            self.env, held, index, data, PieceSource.ORIGIN, 'the origin', request_digests
        )
        return data if good else None

    async def fetch_digests(self, held: PieceSet) -> bool:
        """
        Fetch the digests of all pieces into `held`; False if no valid list was received.

        """
        return await held.set_digests(await self._request_digests(held.weights))

    async def _request_digests(self, weights: WeightsId) -> tuple[str, ...]:
        """
        The digests of all pieces of a version; empty if no valid list was received.

        """
        body = await self._fetch(self.adapter.piece_list_request(weights.model, weights.version))
        if body is None:
            return ()
        try:
            pieces = self.adapter.read_piece_list(body)
        except InvalidMessage as error:
            log.warning(
                'The digests of {} from the origin could not be parsed: {}.', weights, error
            )
            return ()
        if (pieces.model, pieces.version) != (weights.model, weights.version):
            log.warning(
                'The origin sent digests of another version: {} {}.', pieces.model, pieces.version
            )
            return ()
        expected = self._piece_count(weights)
        if expected is not None and len(pieces.digests) != expected:
            log.warning(
                'The origin sent {} digests of {}, which has {} pieces.',
                len(pieces.digests),
                weights,
                expected,
            )
            return ()
        return pieces.digests

    def _piece_count(self, weights: WeightsId) -> int | None:
        """
        The number of pieces of a version by the document; None if the document doesn't tell.

        """
        engine = self.current_engine()
        if engine is None or engine.model != weights.model:
            return None
        return engine.pieces or None

    def _client(self) -> Client | None:
        spec = self.current_spec()
        if spec is None:
            return self.client
        client = self.client
        if client is None or (client.host, client.port) != (spec.host, spec.port):
            self.client = Client(spec.host, spec.port, source=self.source)
        return self.client

    def _max_bytes(self) -> int:
        """
        The greatest size of an answer: of a piece, or of the list of all digests.

        """
        engine = self.current_engine()
        if engine is None:
            return MAX_BODY_BYTES
        content = max(engine.piece_bytes, engine.pieces * MAX_DIGEST_BYTES)
        return min(content + ANSWER_MARGIN_BYTES, MAX_BODY_BYTES)

    async def _fetch(self, request: Request) -> bytes | None:
        client = self._client()
        if client is None or self.env.monotonic() < self.paused_until:
            return None
        try:
            response = await client.fetch(
                request.method,
                request.path,
                request.headers,
                timeout=ORIGIN_TIMEOUT_S,
                max_bytes=self._max_bytes(),
            )
        except ExchangeFailed as error:
            is_invalid = isinstance(error, InvalidAnswer)
            pause_s = PAUSE_AFTER_INVALID_S if is_invalid else PAUSE_AFTER_FAILURE_S
            self.paused_until = self.env.monotonic() + pause_s
            if not self.failing:
                log.warning('The request to the origin failed: {}. path={}', error, request.path)
            self.failing = True
            self.env.metrics.count(self.env.metrics.chunks, source='origin', outcome='failed')
            return None
        if self.failing:
            self.failing = False
            log.notice('The origin answers again. path={}', request.path)
        if response.status != 200:
            log.warning(
                'The origin answered with status {}. path={}', response.status, request.path
            )
            return None
        return response.body
