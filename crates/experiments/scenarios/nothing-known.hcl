about   = "gateways start with no engine, clients come, and the list service is up 5 s later"
seconds = 20
known   = false
list {
  up_from = 5
}
clients {
  load = 0.5
}
