"""Reconstruction of the outcome of one request from the logs of all nodes."""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import orjson
from result import Err, Ok, Result

from heatherspur.core import HeatherspurError

__all__ = ["ExplainError", "Explanation", "explain"]

SENTENCES_BY_REASON = {
    "over-limit": "its customer was over its rate and burst",
    "no-room": "no target had a slot in time; callers asked for more than there was",
    "no-target": "the node knew no target of the service that took requests",
    "no-configuration": "the node had not read a configuration yet",
    "no-route": "no route matched its host and path",
    "key-not-in-force": "its key was not in force",
    "stopping": "the node was about to end",
    "no-memory": "the bodies of requests in progress filled the memory for them",
    "internal-error": "an error in the node, whose log line has the traceback",
    "deadline": "its time was over before it could be sent",
    "futile": "requests of its route run into their timeout at present",
    "repeat-budget": "the repeats allowed for its service were used up",
    "timeout": "the final answer was due before the target gave one",
    "target-lost": "the target closed or reset the connection without an answer",
    "cut-short": "the target's answer ended early",
    "garbled": "the target sent bytes that are no answer",
    "no-attempt-id": "the answer did not bear the request's id",
    "foreign-answers": "the target sent only answers to other requests",
    "answers-too-long": "the answers in all slots exceeded the memory for them",
    "overdue": "it ran for longer than usual and a free slot was looked for",
    "unsigned": "the answer did not bear the target's signature",
    "connect-failed": "the target did not accept a connection",
    "target-error": "the target answered with an error of its own",
    "exit-restarted": "the node beside the target was restarted meanwhile",
    "link-lost": "the link between two nodes was lost",
    "caller-gone": "the caller closed its connection",
    "whole": "the target's whole answer was passed on",
}
FINAL_ACTIONS = (
    "entry: answered",
    "entry: not run",
    "entry: outcome unknown",
    "entry: cancelled",
    "entry: request refused",
)
NON_DETAIL_FIELDS = {
    "time",
    "level",
    "message",
    "node_id",
    "request_id",
    "exchange",
}


class ExplainError(HeatherspurError):
    """The logs contain no line about a request."""


class Step(NamedTuple):
    """One log line about the request.

    :param time: Time of the log line.
    :param node: Id of the node that wrote the line.
    :param message: Log message.
    :param details: Other fields of the line, such as the inputs of the decision.
    """

    time: str
    node: str
    message: str
    details: dict[str, Any]


class Explanation(NamedTuple):
    """Outcome of one request and its cause.

    :param request_id: Request id, set by the caller.
    :param outcome: Final outcome of the request.
    :param cause: Cause of the outcome, in one sentence.
    :param steps: Log lines about the request, by time.
    """

    request_id: str
    outcome: str
    cause: str
    steps: tuple[Step, ...]


def _matching_lines(request_id: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        if request_id not in line:
            continue
        try:
            fields = orjson.loads(line[line.index("{") :])
        except ValueError:
            continue
        if fields.get("request_id") == request_id:
            yield fields


def _step(fields: dict[str, Any]) -> Step:
    details = {k: v for k, v in fields.items() if k not in NON_DETAIL_FIELDS}
    return Step(fields["time"], fields["node_id"], fields["message"], details)


def explain(request_id: str, lines: Iterable[str]) -> Result[Explanation, ExplainError]:
    """Sort the log lines about one request by time and determine the cause.

    :param request_id: Request id, set by the caller.
    :param lines: Log lines of any nodes; text before the JSON object is ignored.
    :returns: The explanation, or an error if no line has this request id.
    """
    matching_lines = sorted(
        _matching_lines(request_id, lines), key=lambda fields: fields["time"]
    )
    if not matching_lines:
        reason = "no log line has this id: expected the log of its node among the files"
        return Err(ExplainError("explain request", request_id, reason))
    steps = tuple(map(_step, matching_lines))
    final = next((s for s in reversed(steps) if s.message in FINAL_ACTIONS), steps[-1])
    reason = str(final.details.get("reason", ""))
    cause = SENTENCES_BY_REASON.get(reason, reason)
    if final not in steps or final.message not in FINAL_ACTIONS:
        return Ok(Explanation(request_id, "no final answer", cause, steps))
    status = final.details.get("status")
    outcome = final.message.removeprefix("entry: ")
    if status:
        outcome = f"{outcome}, status {status}"
    return Ok(Explanation(request_id, outcome, cause, steps))
