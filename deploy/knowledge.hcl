# Beside the platform's configuration, where a folder lasts: what was learned and the keys that were sent outlive the
# program. docs/operate/knowledge.md has every key.
#
#   PROXY_CONFIG=config.json starlingplank serve --operator deploy/knowledge.hcl

knowledge {
  folder         = "/var/lib/starlingplank"
  required       = false
  every          = "1s"
  restart_within = "3s"
}

log {
  form  = "json"
  level = "info"
}
