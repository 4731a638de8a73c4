"""Recording and replay of what the decision cores take and give.

A node that runs with ``--trace`` writes one JSON line for each call of a core.
``heatherspur replay`` makes the same calls again and checks the outcomes that the
trace states.
"""

from heatherspur.replay.codec import decode_value, encode_value
from heatherspur.replay.conf import TraceError
from heatherspur.replay.recorder import TraceWriter, record_calls
from heatherspur.replay.runner import ReplayReport, replay_trace

__all__ = [
    "ReplayReport",
    "TraceError",
    "TraceWriter",
    "decode_value",
    "encode_value",
    "record_calls",
    "replay_trace",
]
