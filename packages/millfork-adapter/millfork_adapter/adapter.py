"""
The interface between the daemon and a platform's manner of speaking.

An adapter translates and decides nothing: every name on the wire is read
once, into the typed messages of this package, and written from them.

"""

from typing import Protocol

from millfork_adapter.calls import Call
from millfork_adapter.exchange import (
    AnswerHead,
    CallerRequest,
    EngineReport,
    ForwardOptions,
    PieceList,
)
from millfork_routing.documents import Document
from millfork_web.models import Headers, Request, Response


class Adapter(Protocol):
    """
    What the daemon needs of a platform.

    """

    def read_call(self, request: Request) -> Call:
        """
        A call to a replica.

        :raises BadCall: if it makes no sense.

        """

    def accepted_response(self) -> Response:
        """
        The answer to a call that was carried out.

        """

    def document_response(self, body: bytes) -> Response:
        """
        The answer that holds the newest document.

        """

    def read_document(self, body: bytes) -> Document:
        """
        A document from its bytes.

        :raises BadCall: if it can't be read whole.

        """

    def is_readiness_check(self, request: Request) -> bool:
        """
        Whether a request asks an entry if it is ready.

        """

    def read_caller_request(self, request: Request) -> CallerRequest:
        """
        A caller's request.

        :raises BadCall: if its head makes no sense.

        """

    def back_end_headers(self, request: Request, options: ForwardOptions) -> Headers:
        """
        The headers of a caller's request as a back end gets them.

        """

    def read_answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """
        The head of a back end's answer.

        """

    def caller_headers(self, headers: Headers) -> Headers:
        """
        The headers of a back end's answer as the caller gets them.

        """

    def refusal_headers(self, request_id: str, wait_ms: int) -> Headers:
        """
        The headers of the entry's own refusal.

        """

    def report_request(self) -> Request:
        """
        Asks an engine for its state.

        """

    def read_report(self, body: bytes) -> EngineReport:
        """
        An engine's state.

        :raises BadCall: if it can't be read.

        """

    def piece_list_request(self, model: str, version: int) -> Request:
        """
        Asks the origin for the digests of a version.

        """

    def read_piece_list(self, body: bytes) -> PieceList:
        """
        The digests of a version.

        :raises BadCall: if they can't be read.

        """

    def piece_request(self, model: str, version: int, index: int) -> Request:
        """
        Asks the origin for a piece.

        """

    def stage_piece_request(self, model: str, index: int, body: bytes) -> Request:
        """
        Lays a piece where the engine takes it from.

        """

    def read_staged_piece_request(self, model: str, index: int) -> Request:
        """
        Asks the engine for a piece that lies there.

        """

    def load_layers_request(
        self, model: str, version: int, first: int, end: int, interrupts: bool
    ) -> Request:
        """
        Orders the engine to take the layers from `first` to before `end` of a
        version from the pieces that lie there: once what runs has ended, or at
        once, which breaks off what runs.

        """
