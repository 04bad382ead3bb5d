about   = "the list service can answer a fifth of five questions a second of each gateway"
seconds = 16
list {
  capacity = 0.2
}
