"""Base class of the errors that the program raises or returns."""

__all__ = ["HeatherspurError"]


class HeatherspurError(Exception):
    """Error with the operation that failed and the peer involved.

    :param step: Operation that failed, for example ``"read settings"``.
    :param peer: Subject of the operation, such as an address, a node id or a file name.
    :param reason: Cause of the failure, in one short sentence.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step}: {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
