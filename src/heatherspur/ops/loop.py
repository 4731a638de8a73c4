"""Event loop of a node: runs several queued events between two polls of the sockets."""

import logging

from circuits import BaseComponent, handler

from heatherspur.ops.logs import write_deferred_logs

__all__ = ["NodeLoop"]

# Exceeds the longest chain of events that one request causes.
MAX_FLUSHES_BETWEEN_POLLS = 64

logger = logging.getLogger("heatherspur.node")


class NodeLoop(BaseComponent):
    """Root component of a node; subclasses register the tasks."""

    def tick(self, timeout: float = -1) -> None:
        """Run the queued events, then wait for new ones.

        By default circuits polls the sockets before each step of a chain of events,
        and the chain of a request has about ten steps.

        :param timeout: Maximum wait in seconds; negative for no limit.
        """
        for _ in range(MAX_FLUSHES_BETWEEN_POLLS):
            if not len(self._queue):
                break
            self.flush()
        write_deferred_logs()
        super().tick(timeout)

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, handler=None, fevent=None):
        extra = {"step": str(fevent), "reason": f"{error_type.__name__}: {value}"}
        lines = "".join(traceback) if isinstance(traceback, list) else str(traceback)
        logger.error("node: internal error", extra={**extra, "traceback": lines})
