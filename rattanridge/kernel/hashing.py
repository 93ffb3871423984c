"""Hashes by which a request is known again."""

import hashlib


def hash_parts(*parts: bytes, size: int) -> str:
    """Return one hash over parts, whose borders count.

    :param size: bytes of the hash; it has twice as many hexadecimal digits.
    """
    state = hashlib.blake2b(digest_size=size)
    for part in parts:
        state.update(len(part).to_bytes(4, "big") + part)
    return state.hexdigest()
