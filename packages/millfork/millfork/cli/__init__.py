"""
Flags, arguments and usage text of `millfork`.

"""
