"""Model of the authority of permit issuers."""
