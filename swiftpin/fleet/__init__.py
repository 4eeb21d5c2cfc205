"""Links between the instances of a router: signs of life, news, permits."""
