"""Tests of traces and their checker."""
