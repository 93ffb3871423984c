"""Checks of the promises on keys of client accounts; one text per violation."""

import aiohttp

from rattanridge.kernel import codes
from rattanridge.soak import api_keys, callers, journals, processes

REFUSED = str(codes.NO_ACCOUNT.number)


def check_all(runs: list[journals.Run], attempts: list[callers.Attempt]) -> list[str]:
    """Return the violations; none if no attempt was sent with a key."""
    if not any(item.api_key for item in attempts):
        return []
    return [*check_runs(runs, attempts), *check_steady_key(attempts)]


def check_runs(runs: list[journals.Run], attempts: list[callers.Attempt]) -> list[str]:
    """Check that only attempts with a key ran, as their account's, without the key."""
    sent = {item.id: item for item in attempts}
    found = []
    for run in runs:
        attempt = sent.get(run.attempt)
        if attempt is None:
            continue
        account = api_keys.owner_of(attempt.api_key)
        if run.authorization:
            found.append(f"endpoint {run.endpoint} got the key of {attempt.id}")
        if not may_run_as(run.account, account, attempt.path):
            found.append(
                f"attempt {attempt.id} of {attempt.path} with a key of {account!r} "
                f"ran as {run.account!r}"
            )
    return found


def may_run_as(received: str, account: str, path: str) -> bool:
    """Return whether a request may run with what the endpoint received as account.

    A key that a preset has just put out of force counts as unknown on a public route.

    :param account: name of the account of its key; empty for none.
    """
    if f"/{api_keys.PUBLIC}/" in path:
        return received == account or (account == api_keys.ROTATED and not received)
    return bool(account) and received == account


def check_steady_key(attempts: list[callers.Attempt]) -> list[str]:
    """Check that the key that is in all presets was never refused."""
    return [
        f"attempt {item.id} with the key of {api_keys.STEADY.name} was refused"
        for item in attempts
        if item.api_key in api_keys.STEADY.keys and item.code == REFUSED
    ]


async def check_rotation(sender: callers.Callers, change: int) -> list[str]:
    """Check that all nodes accept the newest key of an account, and not the one before.

    :param change: number of the preset that all nodes apply.
    """
    async with aiohttp.ClientSession() as session:
        return [
            text
            for host in sender.cluster.hosts
            for key in (change, change - 1)
            if (text := await check_key(sender, session, host, key, key == change))
        ]


async def check_key(
    sender: callers.Callers,
    session: aiohttp.ClientSession,
    host: processes.Host,
    change: int,
    valid: bool,
) -> str:
    """Check that a node accepts a key, or refuses it; return the violation, if any."""
    found = await sender.send_attempt(
        session,
        "GET",
        f"/{host.service}/read-key",
        api_key=api_keys.rotated_key(change),
        host=host,
    )
    if (found.code == REFUSED) is not valid:
        return ""
    return f"{host.name} answered {found.status} {found.code} to key {change}"
