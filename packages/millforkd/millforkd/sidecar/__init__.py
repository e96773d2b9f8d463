"""
The endpoint role of a seeded fleet: a daemon beside each engine, which fetches weights in
pieces, reports the state of the engine and tells the engine to load versions.

"""
