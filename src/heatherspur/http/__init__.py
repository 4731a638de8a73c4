"""HTTP/1.1 protocol handling for callers and targets, independent of sockets."""

from heatherspur.http.attribution import Attribution, ConnectionHistory
from heatherspur.http.caller import CallerProtocol
from heatherspur.http.conf import (
    HTTP_SETTINGS,
    FieldError,
    HttpSettings,
)
from heatherspur.http.fields import (
    CUSTOMER_FIELD,
    DEADLINE_FIELD,
    KEY_FIELD,
    OUTCOME_FIELD,
    SHED_FIELD,
    CallerFields,
    Field,
    end_to_end_fields,
    end_to_end_response_fields,
    parse_caller_fields,
)
from heatherspur.http.messages import (
    BodyChunk,
    Fault,
    HttpEvent,
    MessageEnd,
    RequestHead,
    ResponseHead,
)
from heatherspur.http.target import TargetProtocol

__all__ = [
    "CUSTOMER_FIELD",
    "DEADLINE_FIELD",
    "HTTP_SETTINGS",
    "KEY_FIELD",
    "OUTCOME_FIELD",
    "SHED_FIELD",
    "Attribution",
    "BodyChunk",
    "CallerFields",
    "CallerProtocol",
    "ConnectionHistory",
    "Fault",
    "Field",
    "FieldError",
    "HttpEvent",
    "HttpSettings",
    "MessageEnd",
    "RequestHead",
    "ResponseHead",
    "TargetProtocol",
    "parse_caller_fields",
    "end_to_end_fields",
    "end_to_end_response_fields",
]
