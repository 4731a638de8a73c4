"""Mutual proof of the fleet's secret when a link opens.

Both sides send a fresh nonce and then a keyed hash (HMAC, RFC 2104) over both
hellos and their own role, so a proof can't be played back to its sender or on
another link. The proof admits nodes; it neither hides nor seals later messages.
"""

import hashlib
import hmac
import secrets

import cbor2

from heatherspur.link.messages import Hello, Proof

__all__ = ["LINK_VERSION", "Handshake"]

LINK_VERSION = 1
NONCE_BYTES = 16


class Handshake:
    """One side of the handshake.

    :param secret: The fleet's secret.
    :param node: Own node id.
    :param incarnation: Own incarnation.
    :param zone: Own zone.
    :param is_entry: Whether this side opened the link.
    """

    def __init__(
        self, secret: str, node: str, incarnation: str, zone: str, is_entry: bool
    ) -> None:
        self._secret = secret.encode()
        self._is_entry = is_entry
        nonce = secrets.token_bytes(NONCE_BYTES)
        self.hello = Hello(LINK_VERSION, node, incarnation, zone, nonce)
        self.peer: Hello | None = None
        self.accepted = False

    def receive_hello(self, hello: Hello) -> str | None:
        """Take the peer's hello.

        :param hello: The message.
        :returns: What is wrong with it, or ``None``.
        """
        if self.peer is not None:
            return "second hello"
        if hello.version != LINK_VERSION:
            return f"link version {hello.version} is not {LINK_VERSION}"
        if len(hello.nonce) != NONCE_BYTES:
            return "nonce has a wrong length"
        self.peer = hello
        return None

    def accept_without_proof(self, node: str) -> None:
        """Take the peer for the node that was dialled, without a proof.

        :param node: Node id of the peer.
        """
        self.peer = Hello(LINK_VERSION, node, "", "", b"")
        self.accepted = True

    def proof(self) -> Proof:
        """Return the own proof; the peer's hello must be known."""
        return Proof(self._mac(self._is_entry))

    def verify_proof(self, proof: Proof) -> str | None:
        """Check the peer's proof.

        :param proof: The message.
        :returns: What is wrong with it, or ``None``.
        """
        if self.peer is None:
            return "proof before hello"
        if not hmac.compare_digest(proof.mac, self._mac(not self._is_entry)):
            return "wrong fleet secret"
        self.accepted = True
        return None

    def _mac(self, by_entry: bool) -> bytes:
        hellos = (self.hello, self.peer)
        entry, exit_ = hellos if self._is_entry else reversed(hellos)
        text = cbor2.dumps([by_entry, list(entry), list(exit_)])
        return hmac.new(self._secret, text, hashlib.sha256).digest()
