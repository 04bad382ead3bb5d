# A whole configuration in one file: a gateway of its own before engines that speak the ClickHouse HTTP interface.
#
#   starlingplank serve --operator deploy/clickhouse.hcl
#   starlingplank check-config --operator deploy/clickhouse.hcl

name          = "gateway-1"
listen        = "127.0.0.1:9090"
seed          = "5f2c9a1e77d04b36"
zones         = ["room-a", "room-b"]
zone          = "room-a"
gateways      = 1
tick          = "5ms"
engines_speak = "clickhouse"

machine {
  cores   = 1.0
  memory  = "192MiB"
  sockets = 1024
}

clickhouse {
  listen = "127.0.0.1:8123"
  rule {
    class = "load"
    verbs = ["insert"]
  }
  rule {
    class = "report"
    users = ["planner"]
  }
  rule {
    class = "lookup"
  }
}

kind "std-12" {
  cores  = 12
  memory = "24GiB"
}

engine "ch-1" {
  address = "127.0.0.1:18123"
  zone    = "room-a"
  kind    = "std-12"
}

engine "ch-2" {
  address = "127.0.0.1:28123"
  zone    = "room-b"
  kind    = "std-12"
}

class "lookup" {
  aim             = "1200ms"
  aim_stretch     = 2
  give_up         = "6s"
  worth           = 1
  repeat          = "safe"
  threads         = 1
  waits_for_loads = true
}

class "report" {
  aim         = "1500ms"
  aim_stretch = 2.5
  give_up     = "20s"
  worth       = 5
  late_worth  = 0.4
  repeat      = "safe"
  threads     = 3
}

class "load" {
  aim         = "3s"
  aim_stretch = 3
  give_up     = "20s"
  worth       = 4
  late_worth  = 0.6
  repeat      = "keyed"
  scope       = "all"
  window      = "12s"
  threads     = 2
  load        = true
}

limits {
  send_cap        = 3
  cancel          = true
  probes          = true
  retry_after     = "1s"
  connect_timeout = "250ms"
  idle_close      = "3s"
  max_open        = 2000
}

engines_heed {
  grants     = true
  priorities = true
  most_grant = 0.4
}

rules {
  answer_slack      = "20ms"
  drain_grace       = "2s"
  cold_from         = 0.31
  warm_within       = "15s"
  fall_multiple     = 3
  tip_after         = "2s"
  extra_free        = 2
  extra_per_request = 0.2
  ratio_span        = "10s"
}

log {
  form  = "text"
  level = "info"
}
