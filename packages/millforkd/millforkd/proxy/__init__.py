"""
The entry role of a seeded fleet: forwards callers' requests directly to back ends.

"""
