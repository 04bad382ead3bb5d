about   = "a third of the engines refuse connections, a sixth take them and say nothing, for 10 s"
seconds = 24
engines {
  refuse    = 0.34
  mute      = 0.17
  ill_until = 10
}
clients {
  load = 0.4
}
