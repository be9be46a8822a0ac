"""What lives as long as one version of the route table."""
