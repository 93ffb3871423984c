"""Addresses of processes: IP number and port."""


def join_host_port(host: str, port: int) -> str:
    """Return ``host:port``; an IPv6 number is put into brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
