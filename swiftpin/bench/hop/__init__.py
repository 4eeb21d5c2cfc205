"""Cost of the hop between instances, by HTTP and by gRPC."""
