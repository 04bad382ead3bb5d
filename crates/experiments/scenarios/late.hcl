about   = "the list service comes up 10 s after the gateways"
seconds = 18
list {
  up_from = 10
}
