"""
Decisions on the path of a request: balance, limits, retries.

"""
