"""
The daemon `millforkd` in all its roles: entry, endpoint and replica.

"""
