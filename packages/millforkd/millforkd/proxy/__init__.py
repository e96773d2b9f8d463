"""
The entry role of a seeded fleet (processes start from a few replica addresses): forwards callers'
requests directly to back ends.

"""
