"""Router for servers that own keys exclusively."""
