"""The operators' language: statements that ask and statements that change."""
