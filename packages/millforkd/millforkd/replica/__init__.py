"""
The replica role: keeps the replicated state and the leases, and answers the calls of back ends
and operators.

"""
