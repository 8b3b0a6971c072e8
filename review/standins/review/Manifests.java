package review;

/** The operator's manifest and the registry entries of runners. */
final class Manifests {
    static final String HOST = "crews.example";
    static final String KEY = "key-of-the-crews";

    private Manifests() {}

    /** A route of the given kind to a plain service, under the prefix with the route's name. */
    static String route(String name, String kind, int timeoutMillis, int targetMillis, String service, String more) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"Prefix\":\"/" + name + "/\",\"RouteKind\":\""
            + kind + "\",\"TimeoutMs\":" + timeoutMillis + ",\"TargetLatencyMs\":" + targetMillis
            + ",\"Priority\":1,\"Service\":\"" + service + "\",\"MaxAttempts\":2,\"Anonymous\":false" + more + "}";
    }

    /** A manifest with the given routes, all to the plain service `defects`. */
    static String manifest(int version, String... routes) {
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":[{\"Name\":"
            + "\"defects\",\"HealthPath\":\"/health\",\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"crews\",\"ApiKeys\":[\"" + KEY
            + "\"],\"Priority\":1}]}";
    }

    /** The registry entry of a runner of `defects`. */
    static String runner(String address, String zone, int slots, long born, long sequence) {
        return "{\"Service\":\"defects\",\"Address\":\"" + address + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\","
            + "\"Slots\":" + slots + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":" + sequence
            + ",\"born\":" + born + "}";
    }
}
