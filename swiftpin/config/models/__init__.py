"""Validated models of declarations, used only at the border."""
