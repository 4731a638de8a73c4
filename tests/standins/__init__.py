"""Stand-ins for the external systems that heatherspur communicates with."""
