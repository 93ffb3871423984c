"""Hashes that identify repeated requests."""

import hashlib


def hash_parts(*parts: bytes | bytearray, size: int) -> str:
    """Return the hexadecimal hash of a sequence of parts.

    The hash includes each part's length, so ``ab, c`` and ``a, bc`` differ.

    :param size: bytes of the hash; the result has twice as many digits.
    """
    state = hashlib.blake2b(digest_size=size)
    for part in parts:
        state.update(len(part).to_bytes(4, "big"))
        state.update(part)
    return state.hexdigest()
