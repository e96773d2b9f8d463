"""
The endpoint role of a seeded fleet: a daemon next to each model engine, which fetches
weights in pieces, reports the state of the engine and orders it to change versions.

"""
