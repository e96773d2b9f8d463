"""
The command line of the operator program.

"""
