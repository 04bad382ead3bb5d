about   = "the list service answers nothing for as long as it is asked more than a fifth of that"
seconds = 16
list {
  capacity = 0.2
  falls    = true
}
