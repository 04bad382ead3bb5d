about   = "half of the gateways are stopped for 5 s, and go on"
seconds = 20
clients {
  load = 0.4
}
fault "stop" {
  what  = "stop"
  share = 0.5
  from  = 4
  to    = 9
}
