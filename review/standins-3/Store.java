import java.io.Closeable;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store, after the page "The platform's metadata store". */
final class Store implements Closeable {
    private record Item(String key, String value, long revision, long created, long lease) {
        String json() {
            return "{\"Key\":" + Json.quote(key) + ",\"Value\":\"" + value + "\",\"Revision\":" + revision
                + ",\"Created\":" + created + ",\"Lease\":" + lease + "}";
        }
    }

    private record Event(String key, long revision, String json) {
    }

    private static final class Lease {
        long ttlMillis;
        long endsAt;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    private final Http.Server server;

    /** Decides about each answer: false if it is lost, and with it the connection. */
    interface Losses {
        boolean delivers(String path, String answer);
    }

    volatile Losses losses = (path, answer) -> true;

    Store() throws IOException {
        server = new Http.Server(0, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes as the operator or a runner. Returns the revision, which confirms it. */
    synchronized long put(String key, String value) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    synchronized void delete(String key) {
        if (items.containsKey(key)) {
            revision++;
            remove(key);
            notifyAll();
        }
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        String target = request.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
        int[] status = {200};
        String body = switch (path) {
            case "/kv-key" -> get(query.get("Key"), status);
            case "/kv-range" -> range(query.get("Prefix"), query.get("After"));
            case "/kv-watch" -> watch(query, status);
            case "/kv-txn" -> transact(Json.object(request.text()), status);
            case "/kv-lease" -> grant((Long) Json.object(request.text()).get("TtlMs"));
            default -> lease(path, status);
        };
        if (!losses.delivers(path, body)) {
            // A channel on which an answer is lost returns nothing further.
            Thread.sleep(Long.MAX_VALUE);
        }
        connection.answer(status[0], "Content-Type: application/json\r\n", body);
    }

    private synchronized String get(String key, int[] status) {
        expire();
        Item item = items.get(key);
        if (item == null) status[0] = 404;
        return item == null ? "{}" : item.json();
    }

    private synchronized String range(String prefix, String after) {
        expire();
        StringBuilder all = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key.startsWith(prefix)) break;
            if (after != null && item.key.compareTo(after) <= 0) continue;
            if (count == 500) {
                more = true;
                break;
            }
            all.append(count++ == 0 ? "" : ",").append(item.json());
        }
        return "{\"Items\":[" + all + "],\"HasMore\":" + more + ",\"At\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query, int[] status) throws InterruptedException {
        long after = Long.parseLong(query.get("After"));
        String prefix = query.get("Prefix");
        long end = System.currentTimeMillis() + Long.parseLong(query.get("WaitMs"));
        while (true) {
            expire();
            if (after > revision) {
                status[0] = 410;
                return "{}";
            }
            StringBuilder found = new StringBuilder();
            for (Event event : events) {
                if (event.revision <= after || !event.key.startsWith(prefix)) continue;
                found.append(found.isEmpty() ? "" : ",").append(event.json);
            }
            long wait = end - System.currentTimeMillis();
            if (!found.isEmpty() || wait <= 0) return "{\"events\":[" + found + "],\"At\":" + revision + "}";
            wait(Math.min(wait, 500));
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(Map<String, Object> body, int[] status) {
        expire();
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("Expected", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) body.getOrDefault("Puts", List.of());
        List<String> deletes = (List<String>) body.getOrDefault("Deletes", List.of());
        for (Map<String, Object> put : puts) {
            long lease = (Long) put.getOrDefault("Lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) {
                status[0] = 404;
                return "{}";
            }
        }
        boolean holds = true;
        StringBuilder states = new StringBuilder();
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("Key"));
            holds &= (item == null ? 0 : item.revision) == (Long) row.get("Revision");
            if (item != null) states.append(states.isEmpty() ? "" : ",").append(item.json());
        }
        if (!holds) {
            status[0] = 412;
            return "{\"Items\":[" + states + "]}";
        }
        revision++;
        for (Map<String, Object> put : puts) {
            write((String) put.get("Key"), (String) put.get("Value"), (Long) put.getOrDefault("Lease", 0L));
        }
        deletes.forEach(this::remove);
        notifyAll();
        return "{\"Revision\":" + revision + "}";
    }

    private synchronized String grant(long ttlMillis) {
        Lease lease = new Lease();
        lease.ttlMillis = ttlMillis;
        lease.endsAt = System.currentTimeMillis() + ttlMillis;
        leases.put(++revision, lease);
        return "{\"Lease\":" + revision + ",\"TtlMs\":" + ttlMillis + "}";
    }

    private synchronized String lease(String path, int[] status) {
        expire();
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            status[0] = 404;
            return "{}";
        }
        if (path.startsWith("/kv-lease-end/")) {
            end(id);
        } else {
            lease.endsAt = System.currentTimeMillis() + lease.ttlMillis;
        }
        return "{\"TtlMs\":" + lease.ttlMillis + "}";
    }

    private void expire() {
        long now = System.currentTimeMillis();
        for (Map.Entry<Long, Lease> entry : new ArrayList<>(leases.entrySet())) {
            if (entry.getValue().endsAt <= now) end(entry.getKey());
        }
    }

    private void end(long id) {
        leases.remove(id);
        for (Item item : new ArrayList<>(items.values())) {
            if (item.lease != id) continue;
            revision++;
            remove(item.key);
        }
        notifyAll();
    }

    private void write(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        events.add(new Event(key, revision, item.json()));
    }

    private void remove(String key) {
        if (items.remove(key) == null) return;
        events.add(new Event(key, revision, "{\"Key\":" + Json.quote(key) + ",\"Revision\":" + revision
            + ",\"Deleted\":true}"));
    }

    private static Map<String, String> query(String text) {
        Map<String, String> result = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals < 0) continue;
            result.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return result;
    }
}
