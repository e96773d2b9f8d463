"""
Stand-ins at the interfaces, the demo fleet and the bench.

"""
