"""
The entry (front proxy process) of a seeded fleet, whose processes start from a few replica
addresses. The entry forwards callers' requests directly to back ends.

"""
