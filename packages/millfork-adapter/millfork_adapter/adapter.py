"""
The interface between the daemons and the wire format of a platform.

An adapter only translates: it parses the platform's HTTP messages into the types of this
package and writes HTTP messages from them. The daemons make all decisions.

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
    Translates between the wire format of a platform and the types of this package.

    """

    def read_call(self, request: Request) -> Call:
        """
        Parse a call by a back end or operator to a replica. A call of an unknown kind is returned
        as `UnknownCall`.

        :raises InvalidMessage: if the call cannot be parsed.

        """

    def accepted_response(self) -> Response:
        """
        Return the response to a call that was carried out.

        """

    def document_response(self, body: bytes) -> Response:
        """
        Return the response to `ReadDocument`; `body` is the document as the operator sent it.

        """

    def read_document(self, body: bytes) -> Document:
        """
        Parse the operator's document.

        :raises InvalidMessage: if any part of the document cannot be parsed.

        """

    def is_readiness_check(self, request: Request) -> bool:
        """
        Whether a request is the readiness check of the platform's load balancer.

        """

    def read_caller_request(self, request: Request) -> CallerRequest:
        """
        Parse the request line and headers of a caller's request.

        :raises InvalidMessage: if a header is missing or cannot be parsed.

        """

    def back_end_headers(self, request: Request, options: ForwardOptions) -> Headers:
        """
        Return the headers with which a caller's request is sent to a back end.

        """

    def read_answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """
        Parse the status and headers of a back end's response.

        """

    def caller_headers(self, headers: Headers) -> Headers:
        """
        Return the headers with which a back end's response is sent to the caller.

        """

    def refusal_headers(self, request_id: str, wait_ms: int) -> Headers:
        """
        Return the headers of a refusal by the entry itself. `request_id` may be empty; `wait_ms`
        is the time after which the caller may try again (0: unspecified).

        """

    def report_request(self) -> Request:
        """
        Return the request that asks an engine for its state.

        """

    def read_report(self, body: bytes) -> EngineReport:
        """
        Parse an engine's report of its state.

        :raises InvalidMessage: if the report cannot be parsed.

        """

    def piece_list_request(self, model: str, version: int) -> Request:
        """
        Return the request that asks the origin for the digests of the pieces into which a
        version's weights are split.

        """

    def read_piece_list(self, body: bytes) -> PieceList:
        """
        Parse the origin's list of the digests of a version's pieces.

        :raises InvalidMessage: if the list cannot be parsed or a digest is malformed.

        """

    def piece_request(self, model: str, version: int, index: int) -> Request:
        """
        Return the request that asks the origin for the piece with number `index`.

        """

    def stage_piece_request(self, model: str, index: int, body: bytes) -> Request:
        """
        Return the request that writes a piece to the engine's staging area, where pieces wait to
        be loaded.

        """

    def read_staged_piece_request(self, model: str, index: int) -> Request:
        """
        Return the request that reads a piece from the engine's staging area.

        """

    def load_layers_request(
        self, model: str, version: int, first: int, end: int, interrupts: bool
    ) -> Request:
        """
        Return the request that tells the engine to load a range of layers (`end` is exclusive)
        out of its staged pieces. The engine finishes its running requests before it loads; if
        `interrupts` is set, it aborts them and loads at once.

        """
