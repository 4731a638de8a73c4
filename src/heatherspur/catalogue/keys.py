"""Creation and hashing of callers' keys, which are stored as digests only."""

import hashlib
import secrets

__all__ = ["key_digest", "new_key"]

KEY_PREFIX = "hsk_"
KEY_BYTES = 24


def new_key() -> str:
    """Return a new random key of 192 bits, with a prefix that identifies the format."""
    return KEY_PREFIX + secrets.token_hex(KEY_BYTES)


def key_digest(key: bytes) -> bytes:
    """Return the digest under which a key is stored.

    Keys are random and too long for a brute-force search, so the hash needs no salt.

    :param key: The key as sent by a caller.
    :returns: SHA-256 digest, 32 bytes.
    """
    return hashlib.sha256(key).digest()
