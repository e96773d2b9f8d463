"""
The endpoint role of a seeded fleet: weights in pieces, and the engine's state.

"""
