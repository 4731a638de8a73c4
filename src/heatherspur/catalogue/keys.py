"""Callers' keys: made here once, kept everywhere as digests only."""

import hashlib
import secrets

__all__ = ["key_digest", "new_key"]

KEY_PREFIX = "hsk_"
KEY_BYTES = 24


def new_key() -> str:
    """Return a fresh random key of 192 bits; its prefix tells what it is."""
    return KEY_PREFIX + secrets.token_hex(KEY_BYTES)


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is known.

    Keys are random, so a plain hash can't be searched for; no salt is needed.

    :param key: The key as sent by a caller.
    :returns: SHA-256 digest, 32 bytes.
    """
    return hashlib.sha256(key).digest()
