"""Small stand-ins for the systems that marjoramstile meets, runnable alone."""
