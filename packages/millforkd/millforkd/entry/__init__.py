"""
Role entry: serves callers and operators, and routes calls to endpoints.

"""
