about   = "for 5 s the list service says what is older than what the gateways know"
seconds = 12
list {
  stale_until = 5
}
