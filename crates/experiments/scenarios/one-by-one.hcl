about   = "engines that the gateways' files name come up cold, one after another"
seconds = 40
engines {
  cold    = 1
  up_from = 1
  apart   = 1
}
clients {
  load = 0.5
}
