"""Configuration distribution and fair request routing for a service mesh."""
