"""Models of cold targets and of evacuated zones."""
