about   = "gateways start with no engine, and all engines have just started"
seconds = 40
known   = false
engines {
  cold = 1
}
clients {
  load = 0.6
}
