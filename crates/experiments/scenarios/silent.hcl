about   = "the list service never comes up"
seconds = 16
list {
  up_from = 1000
}
