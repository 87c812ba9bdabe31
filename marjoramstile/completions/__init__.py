"""The front for clients of OpenAI's completions interface, over the routing core."""
