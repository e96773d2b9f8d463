"""
Messages between millfork's own processes: schema, framing, handshake, peers.

"""
