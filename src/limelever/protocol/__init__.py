"""Protobuf schemas and the committed code generated from them."""
