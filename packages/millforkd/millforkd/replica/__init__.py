"""
The replica role: replicated state, leases, and the calls of back ends and operators.

"""
