about   = "the way to the list loses three datagrams in ten and takes 50 ms; an engine drains meanwhile"
seconds = 14
clients {
  load = 0.4
}
fault "lose" {
  what  = "lose"
  share = 1
  from  = 0
  to    = 100
  by    = 0.3
}
fault "slow" {
  what  = "slow"
  share = 1
  from  = 0
  to    = 100
  by    = 0.05
}
fault "drain" {
  what  = "drain"
  share = 0
  from  = 5
}
