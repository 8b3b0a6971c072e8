import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** The operator's manifest of a small deployment: one application and, if asked for, one model service. */
final class Manifest {
    static final String HOST = "ficu95.example";
    static final String REPORTS = "/reports/";
    static final String LOOKUPS = "/lookups/";
    static final String SUMMARIES = "/summaries/";

    private Manifest() {}

    static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMillis,
        int targetMillis, int attempts) {
        return Json.object("Name", name, "Host", HOST, "Prefix", prefix, "RouteKind", kind, "TimeoutMs", timeoutMillis,
            "TargetLatencyMs", targetMillis, "Priority", 1, "Service", service, "MaxAttempts", attempts,
            "Anonymous", false);
    }

    static void put(Store store, List<Object> routes, List<Object> services) {
        put(store, 7, List.of("key1", "key2", "key3"), routes, services);
    }

    /** Each of [keys] belongs to a tenant of its own, which is named after it. */
    static void put(Store store, int version, List<String> keys, List<Object> routes, List<Object> services) {
        Map<String, Object> manifest = Json.object("Version", version, "Routes", routes, "Services", services,
            "Limits", Json.object("MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000,
                "IdleTimeoutMs", 15000),
            "Tenants", keys.stream().map(key -> (Object) tenant("tenant-of-" + key, key)).toList());
        store.put("op/config", Json.write(manifest).getBytes(StandardCharsets.UTF_8), 0);
    }

    static Map<String, Object> application(String name) {
        return Json.object("Name", name, "HealthPath", "/health", "MaxConnections", 100, "Protocol", "h1", "Tls",
            false);
    }

    private static Map<String, Object> tenant(String name, String key) {
        return Json.object("Name", name, "ApiKeys", List.of(key), "Priority", 1);
    }
}
