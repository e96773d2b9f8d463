"""
Leases of back ends, reports of endpoint daemons, and their distribution to all daemons.

"""
