"""Small fakes of what daemons meet, on the loop's clock."""
