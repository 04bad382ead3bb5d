about   = "nothing is known, the list is up 5 s later, and clients come back at once whatever they are told"
seconds = 20
known   = false
list {
  up_from = 5
}
clients {
  load      = 0.5
  impatient = true
}
