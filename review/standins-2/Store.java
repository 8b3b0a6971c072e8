import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store, without faults. */
final class Store {
    private record Item(String key, byte[] value, long revision, long created, long lease) {
        Map<String, Object> toJson() {
            return Json.object("Key", key, "Value", Base64.getEncoder().encodeToString(value), "Revision", revision,
                "Created", created, "Lease", lease);
        }
    }

    private record Event(String key, long revision, Map<String, Object> json) {}

    private static final class Lease {
        long ttlMillis;
        long endsAt;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 1;
    private final Map<Integer, HttpServer> servers = new HashMap<>();

    Store() {
        Stands.every(100, this::expire);
    }

    /** Answers at one address more, and returns its port. */
    int listen() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", Stands.freePort()), 256);
        server.setExecutor(Executors.newCachedThreadPool(Stands.daemonThreads("store")));
        server.createContext("/", this::serve);
        server.start();
        servers.put(server.getAddress().getPort(), server);
        return server.getAddress().getPort();
    }

    void stopListening(int port) {
        servers.remove(port).stop(0);
    }

    synchronized long put(String key, byte[] value, long lease) {
        Item before = items.get(key);
        long at = ++revision;
        Item item = new Item(key, value, at, before == null ? at : before.created, lease);
        items.put(key, item);
        events.add(new Event(key, at, item.toJson()));
        notifyAll();
        return at;
    }

    synchronized void delete(String key) {
        if (items.remove(key) == null) return;
        long at = ++revision;
        events.add(new Event(key, at, Json.object("Key", key, "Revision", at, "Deleted", true)));
        notifyAll();
    }

    synchronized long grant(long ttlMillis) {
        Lease lease = new Lease();
        lease.ttlMillis = ttlMillis;
        lease.endsAt = Stands.now() + ttlMillis;
        leases.put(nextLease, lease);
        return nextLease++;
    }

    /** Returns the time to live, or null if the lease has ended. */
    synchronized Long renew(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return null;
        lease.endsAt = Stands.now() + lease.ttlMillis;
        return lease.ttlMillis;
    }

    synchronized void end(long id) {
        if (leases.remove(id) == null) return;
        items.values().stream().filter(item -> item.lease == id).map(Item::key).toList().forEach(this::delete);
    }

    private synchronized void expire() {
        long now = Stands.now();
        leases.entrySet().stream().filter(e -> e.getValue().endsAt <= now).map(Map.Entry::getKey).toList()
            .forEach(this::end);
    }

    private void serve(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String path = exchange.getRequestURI().getPath();
        try {
            if (path.equals("/kv-range")) reply(exchange, 200, range(query));
            else if (path.equals("/kv-key")) key(exchange, query);
            else if (path.equals("/kv-watch")) watch(exchange, query);
            else if (path.equals("/kv-txn")) transaction(exchange, body);
            else if (path.equals("/kv-lease")) {
                long ttl = ((Number) ((Map<?, ?>) Json.read(body)).get("TtlMs")).longValue();
                reply(exchange, 200, Json.object("Lease", grant(ttl), "TtlMs", ttl));
            } else if (path.startsWith("/kv-keep/")) {
                Long ttl = renew(Long.parseLong(path.substring("/kv-keep/".length())));
                reply(exchange, ttl == null ? 404 : 200, Json.object("TtlMs", ttl == null ? 0 : ttl));
            } else if (path.startsWith("/kv-lease-end/")) {
                end(Long.parseLong(path.substring("/kv-lease-end/".length())));
                reply(exchange, 200, Json.object());
            } else reply(exchange, 404, Json.object());
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private synchronized Map<String, Object> range(Map<String, String> query) {
        String prefix = query.getOrDefault("Prefix", "");
        String after = query.getOrDefault("After", "");
        List<Object> found = new ArrayList<>();
        items.values().stream().filter(i -> i.key.startsWith(prefix) && i.key.compareTo(after) > 0)
            .forEach(i -> found.add(i.toJson()));
        return Json.object("Items", found, "HasMore", false, "At", revision);
    }

    private void key(HttpExchange exchange, Map<String, String> query) throws IOException {
        Map<String, Object> json;
        synchronized (this) {
            Item item = items.get(query.get("Key"));
            json = item == null ? null : item.toJson();
            if (json != null) json.put("At", revision);
        }
        reply(exchange, json == null ? 404 : 200, json == null ? Json.object() : json);
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        String prefix = query.getOrDefault("Prefix", "");
        long after = Long.parseLong(query.get("After"));
        long until = Stands.now() + Long.parseLong(query.get("WaitMs"));
        Map<String, Object> answer = null;
        synchronized (this) {
            while (answer == null && after <= revision) {
                List<Map<String, Object>> found = events.stream()
                    .filter(e -> e.revision > after && e.key.startsWith(prefix)).map(Event::json).toList();
                long left = until - Stands.now();
                if (!found.isEmpty() || left <= 0) answer = Json.object("events", found, "At", revision);
                else wait(left);
            }
        }
        reply(exchange, answer == null ? 410 : 200, answer == null ? Json.object() : answer);
    }

    @SuppressWarnings("unchecked")
    private void transaction(HttpExchange exchange, String body) throws IOException {
        Map<String, Object> call = (Map<String, Object>) Json.read(body);
        int status = 200;
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            boolean holds = true;
            for (Object row : (List<Object>) call.getOrDefault("Expected", List.of())) {
                Map<String, Object> expected = (Map<String, Object>) row;
                Item item = items.get((String) expected.get("Key"));
                long found = item == null ? 0 : item.revision;
                holds = holds && found == ((Number) expected.get("Revision")).longValue();
                current.add(item == null
                    ? Json.object("Key", expected.get("Key"), "Value", "", "Revision", 0L, "Created", 0L, "Lease", 0L)
                    : item.toJson());
            }
            List<Object> puts = (List<Object>) call.getOrDefault("Puts", List.of());
            boolean leased = puts.stream().map(p -> lease((Map<String, Object>) p))
                .allMatch(id -> id == 0 || leases.containsKey(id));
            if (!holds) {
                status = 412;
                answer = Json.object("Items", current);
            } else if (!leased) {
                status = 404;
                answer = Json.object();
            } else {
                for (Object row : puts) {
                    Map<String, Object> put = (Map<String, Object>) row;
                    put((String) put.get("Key"), Base64.getDecoder().decode((String) put.get("Value")), lease(put));
                }
                ((List<Object>) call.getOrDefault("Deletes", List.of())).forEach(k -> delete((String) k));
                answer = Json.object("Revision", revision);
            }
        }
        reply(exchange, status, answer);
    }

    private static long lease(Map<String, Object> put) {
        return put.get("Lease") instanceof Number number ? number.longValue() : 0;
    }

    private static void reply(HttpExchange exchange, int status, Object json) throws IOException {
        byte[] bytes = Json.write(json).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.getResponseHeaders().add("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new LinkedHashMap<>();
        if (raw == null) return query;
        for (String field : raw.split("&")) {
            int eq = field.indexOf('=');
            query.put(field.substring(0, eq), URLDecoder.decode(field.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
