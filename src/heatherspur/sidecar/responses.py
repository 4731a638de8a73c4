"""Reads the responses on one connection to the target, without I/O.

A target in trouble repeats earlier responses, truncates them or sends bytes without
end, so each response is checked against its request before it counts.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from heatherspur.http import (
    Attribution,
    BodyChunk,
    Fault,
    HttpEvent,
    MessageEnd,
    ResponseHead,
)
from heatherspur.platform.headers import ResponseMetadata, parse_response_metadata
from heatherspur.sidecar.target import TargetConnection, TargetRequest

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_BUFFERED_BYTES",
    "BadResponse",
    "ForeignResponse",
    "WholeResponse",
    "read_responses",
]

# Answers are buffered whole before they are sent to the entry. The smallest hosts have
# 200 MB of memory, and an answer is held three times while it is encoded.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
# A target that repeats earlier answers may do so without end.
MAX_FOREIGN_ANSWERS = 4
STATUS_SUCCESS_END = 300


class WholeResponse(NamedTuple):
    """A whole response to the request of the connection.

    :param metadata: What the target states about it.
    """

    metadata: ResponseMetadata


class ForeignResponse(NamedTuple):
    """A whole response to another request, which was dropped."""


class BadResponse(NamedTuple):
    """Bytes that are no usable response; the outcome of the request is unknown.

    :param reason: Short name of the reason.
    """

    reason: str


def read_responses(
    connection: TargetConnection, events: Iterable[HttpEvent], n_other_bytes: int
) -> Iterator[WholeResponse | ForeignResponse | BadResponse]:
    """Yield what the received parts of responses amount to.

    Ends after a response that decides the outcome of the connection's request, or when
    more bytes are needed. Status, fields and body are stored in the request.

    :param connection: The connection; must carry a request.
    :param events: Parsed parts of responses.
    :param n_other_bytes: Size of the partial answers of other connections, in bytes.
    """
    request = connection.request
    while True:
        response = _read_response(connection, events, n_other_bytes)
        if response is None:
            return
        yield response
        if not isinstance(response, ForeignResponse):
            return
        request.n_foreign_answers += 1
        if request.n_foreign_answers > MAX_FOREIGN_ANSWERS:
            yield BadResponse("foreign-answers")
            return
        _start_response(request, 0, ())
        events = connection.protocol.discard_response(request.message.method)


def _start_response(request: TargetRequest, status: int, fields: tuple) -> None:
    request.status, request.fields = status, fields
    request.chunks, request.n_bytes = [], 0


def _read_response(
    connection: TargetConnection, events: Iterable[HttpEvent], n_other_bytes: int
) -> WholeResponse | ForeignResponse | BadResponse | None:
    request = connection.request
    for event in events:
        if isinstance(event, ResponseHead):
            _start_response(request, event.status, event.fields)
        elif isinstance(event, BodyChunk):
            request.chunks.append(event.data)
            request.n_bytes += len(event.data)
            if request.n_bytes > MAX_ANSWER_BYTES:
                return BadResponse("answer-too-long")
            if request.n_bytes + n_other_bytes > MAX_BUFFERED_BYTES:
                return BadResponse("answers-too-long")
        elif isinstance(event, Fault):
            return BadResponse("garbled")
        elif isinstance(event, MessageEnd):
            return _check_response(connection)
    return None


def _check_response(
    connection: TargetConnection,
) -> WholeResponse | ForeignResponse | BadResponse:
    """Return whether a whole response is usable as that to the current request."""
    request = connection.request
    metadata = parse_response_metadata(request.status, request.fields)
    attribution = connection.history.attribute(metadata.attempt_id)
    if attribution is Attribution.OTHER_REQUEST:
        return ForeignResponse()
    if attribution is Attribution.UNPROVEN:
        return BadResponse("no-attempt-id")
    is_success = not metadata.not_run and request.status < STATUS_SUCCESS_END
    if is_success and not (metadata.signed and metadata.attempt_id):
        return BadResponse("unsigned")
    return WholeResponse(metadata)
