"""Engine ownership: owners grant decode slots and admit prefills for all daemons."""
