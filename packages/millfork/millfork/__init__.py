"""
The command line for operators.

"""
