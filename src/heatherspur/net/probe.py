"""Check whether a program still listens at an address of this host."""

import socket

from heatherspur.core import Address

__all__ = ["is_refused"]


def is_refused(address: Address, timeout_s: float) -> bool:
    """Return whether an address refuses connections, so that no program listens there.

    Blocks until the attempt has succeeded or failed, for the timeout at the most.

    :param address: Address on this host.
    :param timeout_s: Timeout of the attempt, in seconds.
    """
    try:
        socket.create_connection(address, timeout_s).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
