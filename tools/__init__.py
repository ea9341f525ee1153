"""Commands for developers: demos, test runner, plots and the reference generator."""
