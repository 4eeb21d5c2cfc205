"""Cases of the independent review; they are no part of CI or the default test run."""
