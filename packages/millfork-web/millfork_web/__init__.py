"""
HTTP/1.1 with h11 on curio: server, client, problem bodies.

"""
