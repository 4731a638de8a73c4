"""Structured logs: one JSON object a line on standard error.

Each message is a short sentence that starts with the part it comes from.
"""

import logging
import sys

from pythonjsonlogger.orjson import OrjsonFormatter

__all__ = ["configure_logs"]

FORMAT = "%(asctime)s %(levelname)s %(message)s"


def configure_logs(level: str, node: str) -> None:
    """Send the logs of the program to standard error.

    :param level: Least severe level that is logged.
    :param node: Node id, part of every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = OrjsonFormatter(
        FORMAT,
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"node_id": node},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger("heatherspur")
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
