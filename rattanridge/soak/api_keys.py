"""Client accounts of a soak: their keys, and what must hold for requests with keys.

One account keeps its key, which must always be accepted. The other one has a new key in
each preset. Some requests have a wrong key or none, and must not run.
"""

import random

from rattanridge.kernel import presets

STEADY = presets.Account(name="steady", keys=["steady-key"], priority="high")
ROTATED = "rotated"  # name of the account whose key changes
WRONG_KEY = "wrong-key"
PUBLIC = "public"  # part of the paths that need no key
PUBLIC_SHARE = 0.1  # of the requests
# Shares of the requests with each key; the rest has none.
STEADY_SHARE = 0.7
ROTATED_SHARE = 0.15
WRONG_SHARE = 0.08


def rotated_key(change: int) -> str:
    """Return the key of the account ``ROTATED`` in a preset.

    :param change: number of the preset in the soak.
    """
    return f"{ROTATED}-key-{change}"


def accounts_of(change: int) -> list[presets.Account]:
    """Return the accounts of a preset by its number."""
    return [STEADY, presets.Account(name=ROTATED, keys=[rotated_key(change)])]


def public_route(service: str) -> presets.Route:
    """Return the route of a service that needs no key."""
    prefix = f"/{service}/{PUBLIC}"
    return presets.Route(prefix=prefix, service=service, idempotent=True, public=True)


class KeyRing:
    """Chooses the keys that callers send."""

    def __init__(self, rng: random.Random):
        self.random = rng
        self.change = 0  # number of the newest preset
        self.only_steady = False

    def choose(self) -> str:
        """Return the key of one request; empty for none."""
        drawn = self.random.random()
        if self.only_steady or drawn < STEADY_SHARE:
            return STEADY.keys[0]
        drawn -= STEADY_SHARE
        if drawn < ROTATED_SHARE:
            return rotated_key(self.change)
        return WRONG_KEY if drawn < ROTATED_SHARE + WRONG_SHARE else ""

    def is_public(self) -> bool:
        """Draw whether the next request goes to a public route."""
        return self.random.random() < PUBLIC_SHARE


def owner_of(key: str) -> str:
    """Return the name of the account that a key belongs to; empty for none."""
    if key in STEADY.keys:
        return STEADY.name
    return ROTATED if key.startswith(f"{ROTATED}-") else ""
