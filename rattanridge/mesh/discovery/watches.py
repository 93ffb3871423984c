"""The watches of a node: which kinds of objects it follows, and who applies them."""

from rattanridge.mesh import configs, evacuation, events, versions
from rattanridge.mesh.discovery import membership, records, store_health, watching
from rattanridge.platform import (
    configs as wire_configs,
    evacuations as wire_evacuations,
    orders,
    store as stores,
)

# Seconds from a change to the next watch of its kind.
ROLLOUT_BATCH_DELAY = 0.1  # short, so that a rollback is not delayed
EVACUATION_BATCH_DELAY = 0.1  # short, as their effect is promised within seconds
CONFIG_BATCH_DELAY = 0.25  # a watch returns each version that was written meanwhile
RECORDS_BATCH_DELAY = 0.8  # long, as exits refuse calls that an outdated record allows


def make_watches(
    store: stores.Store,
    health: store_health.StoreHealth,
    configs: configs.Configs,
    membership: membership.Membership,
    versions: versions.Versions,
    evacuations: evacuation.Evacuations,
    log: events.Events,
) -> list[watching.Watch]:
    """Return the watches of configurations, records, rollouts, and evacuations.

    Evacuations are watched only if the settings ask for them. Their watch may not be
    stale: stale changes are up to 8 s late, which is more than is promised.
    """
    watches = [
        watching.Watch(
            store,
            wire_configs.KIND,
            health,
            configs.apply_all,
            configs.apply,
            log,
            CONFIG_BATCH_DELAY,
            large=True,
            is_behind=configs.is_behind,
            freshness=configs.freshness,
        ),
        watching.Watch(
            store,
            records.KIND,
            health,
            membership.apply_all,
            membership.apply,
            log,
            RECORDS_BATCH_DELAY,
            allow_stale=True,
            on_answer=membership.record_answer,
        ),
        watching.Watch(
            store,
            orders.KIND,
            health,
            versions.apply_all,
            versions.apply,
            log,
            ROLLOUT_BATCH_DELAY,
            allow_stale=True,
        ),
    ]
    if evacuations.enabled:
        watch = watching.Watch(
            store,
            wire_evacuations.KIND,
            health,
            lambda items: evacuations.apply_all(items, watch.revision),
            evacuations.apply,
            log,
            EVACUATION_BATCH_DELAY,
        )
        watches.append(watch)
    return watches
