"""
The scenario language: small scripts of what goes wrong.

"""
