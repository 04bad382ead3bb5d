about   = "all start at once before a list service that is well"
seconds = 8
