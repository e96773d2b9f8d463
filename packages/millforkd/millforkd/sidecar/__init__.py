"""
The endpoint role of a seeded fleet (one whose processes start from a few replica addresses): a
daemon beside each engine, which fetches weights in pieces, reports the state of the engine and
tells the engine to load versions.

"""
