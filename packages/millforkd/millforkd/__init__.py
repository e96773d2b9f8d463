"""
The daemon: entry and endpoint roles.

"""
