"""HTTP servers for callers and operators, clients of backend servers."""
