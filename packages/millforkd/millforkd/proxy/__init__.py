"""
The entry role of a seeded fleet: callers' requests straight to back ends.

"""
