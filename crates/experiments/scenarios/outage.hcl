about   = "the list is silent and no engine listens for 30 s, then both are back at once, engines cold"
seconds = 66
list {
  silent_from = 6
  silent_to   = 36
}
engines {
  away_from = 6
  away_to   = 36
}
clients {
  load = 0.5
}
