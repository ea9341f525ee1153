"""What the owner of a cell knows: jobs, runs and runners."""
