"""Recording and replay of calls to the decision cores.

A decision core is a class without I/O that receives its inputs, including the time,
as arguments. A node that runs with ``--trace`` writes one JSON line for each call of a
core. ``heatherspur replay`` repeats the calls and checks the expected outcomes that the
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
