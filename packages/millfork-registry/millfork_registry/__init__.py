"""
Leases of back ends, reports of endpoints, and how every daemon learns them.

"""
