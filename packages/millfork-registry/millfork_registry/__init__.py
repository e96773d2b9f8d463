"""
The leases of back ends and the reports of endpoint daemons, and the feed that sends both to all
daemons.

"""
