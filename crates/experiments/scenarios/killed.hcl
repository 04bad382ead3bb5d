about   = "half of the gateways are killed in the middle of their start, twice, before a list with a third of the capacity"
seconds = 16
list {
  capacity = 0.33
}
fault "kill" {
  what  = "kill"
  share = 0.5
  from  = 0.1
  to    = 0.4
}
