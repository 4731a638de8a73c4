"""Mutual authentication with the fleet secret when a link opens.

Each side sends a fresh nonce and then an HMAC (RFC 2104) over both hello messages and
its own role. This prevents reflection of a proof to its sender and replay on another
link. The handshake authenticates nodes only; later messages are neither encrypted nor
integrity-protected.
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
    """State of one side of the handshake; owned by its link.

    :param secret: The fleet secret.
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
        """Check and store the peer's hello.

        :param hello: The message.
        :returns: Reason to refuse the message, or ``None`` if it is accepted.
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
        """Accept the peer without a proof, under the given node id.

        :param node: Node id of the peer.
        """
        self.peer = Hello(LINK_VERSION, node, "", "", b"")
        self.accepted = True

    def proof(self) -> Proof:
        """Return this side's proof; requires the peer's hello."""
        return Proof(self._mac(self._is_entry))

    def verify_proof(self, proof: Proof) -> str | None:
        """Check the peer's proof and accept the peer if it is valid.

        :param proof: The message.
        :returns: Reason to refuse the message, or ``None`` if it is accepted.
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
