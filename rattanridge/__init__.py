"""rattanridge: configuration distribution system for a service mesh.

The public API is re-exported here: settings and presets, the node, and the
coded failure that everything raises.
"""

from rattanridge.kernel import codes, presets, settings

Failure = codes.Failure
NodeSettings = settings.NodeSettings
Preset = presets.Preset
load_preset = presets.load
load_settings = settings.load

__all__ = ["Failure", "NodeSettings", "Preset", "load_preset", "load_settings"]
