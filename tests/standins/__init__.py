"""Small stand-ins for the systems that heatherspur meets."""
