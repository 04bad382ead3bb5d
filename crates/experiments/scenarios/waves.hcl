about   = "gateways start in three waves, a second apart, before a list service with a third of the capacity"
seconds = 14
waves   = [0, 1, 2]
list {
  capacity = 0.33
}
