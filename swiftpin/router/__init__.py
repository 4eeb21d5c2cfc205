"""Router instance: request handling, retries and coordination with the fleet."""
