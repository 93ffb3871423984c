"""HTTP servers of a node: limits on connections and bodies, and coded errors."""
