"""Requests of operators to send nothing to the endpoints of an availability zone."""

KIND = "evacuations"  # one object for each zone, by its name; deleted to end it
SPEC = b"{}"
