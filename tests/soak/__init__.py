"""A randomized fault soak of real processes against the stand-in of the platform."""
