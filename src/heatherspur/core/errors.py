"""Base class of the errors that the program raises or returns."""

__all__ = ["HeatherspurError"]


class HeatherspurError(Exception):
    """An error that names the step and the peer at which it arose.

    :param step: What was being done, for example ``"read settings"``.
    :param peer: The other side: an address, a node id or a file name.
    :param reason: What went wrong, in one short sentence.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step}: {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
