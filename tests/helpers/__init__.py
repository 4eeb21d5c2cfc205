"""Tests of the package `helpers`."""
