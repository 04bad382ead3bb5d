about   = "half of the gateways' questions arrive, and no answer comes back, for 8 s; an engine drains meanwhile"
seconds = 18
clients {
  load = 0.4
}
fault "cut" {
  what  = "cut_back"
  share = 0.5
  from  = 3
  to    = 11
}
fault "drain" {
  what  = "drain"
  share = 0
  from  = 6
}
