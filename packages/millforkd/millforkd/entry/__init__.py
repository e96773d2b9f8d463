"""
Role entry: callers, operators, routing.

"""
