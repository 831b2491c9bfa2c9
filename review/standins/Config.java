package review;

/** The configuration of the scripts: a model route, a lookup route and an action route. */
final class Config {

  static final String HOST = "pule25.example";
  static final String STREAM = "/puxa400/";
  static final String LOOKUP = "/wuhu344/";
  static final String ACTION = "/bobo563/";
  static final String ENGINE = "huvo11a";
  static final String PLAIN = "wuno96b";

  private Config() {}

  static String text(int version) {
    return """
        {"version":%d,"routes":[
        {"name":"r-stream","host":"pule25.example","path_prefix":"/puxa400/",
         "route_type":"streaming","timeout_ms":12000,"target_latency_ms":2000,"priority":0,
         "service":"huvo11a","max_attempts":1,"stages":[],"allow_anonymous":false,
         "session_affinity":true,"stream_resume":false,"gap_aim_ms":400},
        {"name":"r-lookup","host":"pule25.example","path_prefix":"/wuhu344/",
         "route_type":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,
         "service":"wuno96b","max_attempts":2,"allow_anonymous":false},
        {"name":"r-action","host":"pule25.example","path_prefix":"/bobo563/",
         "route_type":"non_idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,
         "service":"wuno96b","max_attempts":1,"allow_anonymous":false}],
        "services":[
        {"name":"huvo11a","health_check_path":"/healthz","max_connections":270,"protocol":"h1",
         "tls":false,"engine":{"slots":64,"kv_capacity_tokens":607174,"kv_token_bytes":327680,
         "link_mbps":1500000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin_ms":4000.0,
         "hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
        {"name":"wuno96b","health_check_path":"/healthz","max_connections":48,"protocol":"h1",
         "tls":false}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
         "idle_timeout_ms":15000},
        "tenants":[{"name":"bozi300","api_keys":["k1"],"priority":1}]}
        """
        .formatted(version);
  }
}
