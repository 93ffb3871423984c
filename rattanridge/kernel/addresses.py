"""Network addresses: IP address and port."""


def join_host_port(host: str, port: int) -> str:
    """Return ``host:port``, with an IPv6 address in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
