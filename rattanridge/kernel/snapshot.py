"""Snapshots: one immutable configuration, whole, checked and content-hashed.

A snapshot is a set of resources: ``preset`` (the name and revision),
``service/<name>`` and ``route/<number>``. On the wire a change is the set of
resources that differ from a base that the subscriber names by its hash.
"""

import dataclasses
import hashlib

import msgspec

from rattanridge.kernel import codes, presets

HASH_BYTES = 16
MAX_SNAPSHOT_BYTES = 4_000_000


class Head(msgspec.Struct, frozen=True):
    """Which preset and revision a snapshot was made from."""

    preset: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """One configuration.

    :param generation: grows by one with each choice of a preset.
    :param resources: encoded resources by name; they alone make the hash.
    :param digest: hex hash over generation and resources.
    :param preset: the decoded content.
    :param routes: routes by host, the longest prefix first.
    """

    generation: int
    resources: dict[str, bytes]
    digest: str
    head: Head
    preset: presets.Preset
    routes: dict[str, list[presets.Route]]

    def match(self, host: str, path: str, method: str) -> presets.Route | None:
        """Return the route for a request: exact host first, then longest prefix."""
        for name in (host, "*"):
            for route in self.routes.get(name, ()):
                if matches(route, path, method):
                    return route
        return None


def matches(route: presets.Route, path: str, method: str) -> bool:
    """Whether a route's prefix and methods cover a request."""
    prefix = route.prefix.rstrip("/")
    if not path.startswith(prefix):
        return False
    if len(path) > len(prefix) and path[len(prefix)] != "/":
        return False
    return method in route.methods or "*" in route.methods


def split(preset: presets.Preset, revision: int) -> dict[str, bytes]:
    """Return a preset's resources, encoded."""
    head = Head(preset=preset.name, revision=revision)
    resources = {"preset": msgspec.msgpack.encode(head)}
    for name, service in preset.services.items():
        resources[f"service/{name}"] = msgspec.msgpack.encode(service)
    for index, route in enumerate(preset.routes):
        resources[f"route/{index:05}"] = msgspec.msgpack.encode(route)
    return resources


def hash_resources(generation: int, resources: dict[str, bytes]) -> str:
    """Return the content hash, independent of the order of insertion."""
    state = hashlib.blake2b(digest_size=HASH_BYTES)
    state.update(generation.to_bytes(8, "big"))
    for name in sorted(resources):
        state.update(len(name).to_bytes(4, "big") + name.encode())
        state.update(len(resources[name]).to_bytes(4, "big") + resources[name])
    return state.hexdigest()


def build(generation: int, resources: dict[str, bytes]) -> Snapshot:
    """Decode and check all resources; raise a coded failure if any is wrong."""
    if sum(map(len, resources.values())) > MAX_SNAPSHOT_BYTES:
        raise codes.Failure(codes.TOO_LARGE, "snapshot")
    try:
        head = msgspec.msgpack.decode(resources["preset"], type=Head)
        services = decode_group(resources, "service/", presets.Service)
        routes = decode_group(resources, "route/", presets.Route)
    except (KeyError, msgspec.MsgspecError) as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where="snapshot")
    preset = presets.Preset(
        name=head.preset, services=services, routes=list(routes.values())
    )
    presets.check(preset, f"preset {head.preset} revision {head.revision}")
    return Snapshot(
        generation=generation,
        resources=resources,
        digest=hash_resources(generation, resources),
        head=head,
        preset=preset,
        routes=index_routes(preset.routes),
    )


def decode_group(resources: dict[str, bytes], prefix: str, kind: type) -> dict:
    """Decode the resources whose names begin with ``prefix``, in order of name."""
    return {
        name.removeprefix(prefix): msgspec.msgpack.decode(resources[name], type=kind)
        for name in sorted(resources)
        if name.startswith(prefix)
    }


def index_routes(routes: list[presets.Route]) -> dict[str, list[presets.Route]]:
    """Group routes by host and order them by falling prefix length."""
    index: dict[str, list[presets.Route]] = {}
    for route in routes:
        index.setdefault(route.host, []).append(route)
    for group in index.values():
        group.sort(key=lambda route: len(route.prefix.rstrip("/")), reverse=True)
    return index


class Delta(msgspec.Struct):
    """The way from one snapshot to another.

    :param generation: generation of the result.
    :param base: hash of the snapshot to start from; empty for a full one.
    :param digest: hash of the result.
    :param changed: resources to set.
    :param removed: names of resources to drop.
    """

    generation: int
    base: str
    digest: str
    changed: dict[str, bytes]
    removed: list[str]


def diff(base: Snapshot | None, target: Snapshot) -> Delta:
    """Return the delta that leads from ``base`` to ``target``."""
    old = base.resources if base is not None else {}
    changed = {k: v for k, v in target.resources.items() if old.get(k) != v}
    removed = [name for name in old if name not in target.resources]
    digest = base.digest if base is not None else ""
    return Delta(target.generation, digest, target.digest, changed, removed)


def apply(current: Snapshot | None, delta: Delta) -> Snapshot:
    """Return the snapshot that a delta leads to, or raise a coded failure.

    ``current`` is left as it is. A generation that is not higher and a base or
    result that does not fit its hash are refused.
    """
    if current is not None and delta.generation <= current.generation:
        detail = f"{delta.generation} after {current.generation}"
        raise codes.Failure(codes.OLD_GENERATION, detail)
    resources: dict[str, bytes] = {}
    if delta.base:
        if current is None or current.digest != delta.base:
            raise codes.Failure(codes.HASH_MISMATCH, "another base")
        resources = dict(current.resources)
    for name in delta.removed:
        resources.pop(name, None)
    resources.update(delta.changed)
    if hash_resources(delta.generation, resources) != delta.digest:
        raise codes.Failure(codes.HASH_MISMATCH, "another result")
    return build(delta.generation, resources)
