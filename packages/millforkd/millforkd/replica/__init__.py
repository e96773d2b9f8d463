"""
The replica role: the state's log, leases, back ends' and operators' calls.

"""
