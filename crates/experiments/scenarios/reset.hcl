about   = "all connections to all engines are reset at once, under load, while the ways are slow"
seconds = 20
clients {
  load = 0.4
}
fault "reset" {
  what  = "engine_reset"
  share = 1
  from  = 6
}
fault "slow" {
  what  = "engine_slow"
  share = 1
  from  = 4
  to    = 10
  by    = 0.02
}
