"""Stand-ins, fleet launcher, load generator, simulator, experiments and model checker."""
