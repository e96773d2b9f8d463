"""
The operators' command line, `millfork`.

"""
