about   = "the ways to a third of the engines are cut for 6 s, and mend with all that was on them"
seconds = 24
clients {
  load = 0.4
}
fault "room" {
  what  = "engine_cut"
  share = 0.34
  from  = 5
  to    = 11
}
