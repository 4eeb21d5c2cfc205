"""The running router: routes, targets, the request path of an instance."""
