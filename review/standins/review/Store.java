package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's metadata store: linearizable, never down, keeps its whole history. */
final class Store implements AutoCloseable {
    private record Row(String key, String value, long revision, long created, long lease) {
        String json() {
            return "{\"Key\":\"" + key + "\",\"Value\":\"" + value + "\",\"Revision\":" + revision
                + ",\"Created\":" + created + ",\"Lease\":" + lease + "}";
        }
    }

    private record Event(String key, long revision, String json) {}

    private record Lease(long ttlMillis, long expiresAt) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final HttpServer server;
    private long revision = 1;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemon("store")));
        server.createContext("/", this::serve);
        server.start();
    }

    /** Address as host:port. */
    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a key as the operator and the runners do; returns once the write is confirmed. */
    synchronized void put(String key, String value) {
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
    }

    /** Removes a key. */
    synchronized void delete(String key) {
        remove(key, ++revision);
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void serve(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = query(call.getRequestURI().getRawQuery());
        String path = call.getRequestURI().getPath();
        if (path.equals("/kv-key")) {
            get(call, query);
        } else if (path.equals("/kv-range")) {
            range(call, query);
        } else if (path.equals("/kv-watch")) {
            watch(call, query);
        } else if (path.equals("/kv-txn")) {
            transact(call, body);
        } else if (path.equals("/kv-lease")) {
            respond(call, 200, grant(number(body, "TtlMs")));
        } else if (path.startsWith("/kv-keep/")) {
            keep(call, id(path));
        } else if (path.startsWith("/kv-lease-end/")) {
            end(id(path));
            respond(call, 200, "{}");
        } else {
            respond(call, 400, "{}");
        }
    }

    private void get(HttpExchange call, Map<String, String> query) throws IOException {
        Row row;
        synchronized (this) {
            expire();
            row = rows.get(query.get("Key"));
        }
        respond(call, row == null ? 404 : 200, row == null ? "{}" : row.json());
    }

    private void range(HttpExchange call, Map<String, String> query) throws IOException {
        List<String> items = new ArrayList<>();
        long at;
        synchronized (this) {
            expire();
            String prefix = query.get("Prefix");
            String after = query.getOrDefault("After", "");
            for (Row row : rows.tailMap(prefix).values()) {
                if (row.key.startsWith(prefix) && row.key.compareTo(after) > 0) items.add(row.json());
            }
            at = revision;
        }
        respond(call, 200, "{\"Items\":[" + String.join(",", items) + "],\"HasMore\":false,\"At\":" + at + "}");
    }

    private void watch(HttpExchange call, Map<String, String> query) throws IOException {
        long until = System.currentTimeMillis() + Long.parseLong(query.get("WaitMs"));
        String prefix = query.get("Prefix");
        long after = Long.parseLong(query.get("After"));
        List<String> found = new ArrayList<>();
        long at;
        synchronized (this) {
            while (true) {
                expire();
                for (Event event : events) {
                    if (event.revision > after && event.key.startsWith(prefix)) found.add(event.json);
                }
                long left = until - System.currentTimeMillis();
                if (!found.isEmpty() || left <= 0) break;
                try {
                    wait(Math.min(left, 200));
                } catch (InterruptedException e) {
                    return;
                }
            }
            at = revision;
        }
        respond(call, 200, "{\"events\":[" + String.join(",", found) + "],\"At\":" + at + "}");
    }

    private void transact(HttpExchange call, String body) throws IOException {
        int status = 200;
        String answer;
        synchronized (this) {
            expire();
            List<String> conflicts = new ArrayList<>();
            boolean holds = true;
            Matcher expected = Pattern.compile("\\{\"Key\":\"([^\"]*)\",\"Revision\":(\\d+)}").matcher(body);
            while (expected.find()) {
                Row row = rows.get(expected.group(1));
                if ((row == null ? 0 : row.revision) != Long.parseLong(expected.group(2))) holds = false;
                if (row != null) conflicts.add(row.json());
            }
            Matcher puts = Pattern.compile("\\{\"Key\":\"([^\"]*)\",\"Value\":\"([^\"]*)\",\"Lease\":(\\d+)}")
                .matcher(body);
            List<String[]> writes = new ArrayList<>();
            while (puts.find()) {
                writes.add(new String[] {puts.group(1), puts.group(2), puts.group(3)});
                long lease = Long.parseLong(puts.group(3));
                if (lease != 0 && !leases.containsKey(lease)) status = 404;
            }
            if (status == 200 && !holds) status = 412;
            if (status == 200) {
                revision++;
                for (String[] put : writes) write(put[0], put[1], Long.parseLong(put[2]), revision);
                Matcher deletes = Pattern.compile("\"Deletes\":\\[([^\\]]*)]").matcher(body);
                if (deletes.find()) {
                    for (String key : deletes.group(1).split(",")) remove(key.replace("\"", "").trim(), revision);
                }
            }
            answer = status == 200 ? "{\"Revision\":" + revision + "}"
                : "{\"Items\":[" + String.join(",", conflicts) + "]}";
        }
        respond(call, status, answer);
    }

    private synchronized String grant(long ttlMillis) {
        leases.put(++revision, new Lease(ttlMillis, System.currentTimeMillis() + ttlMillis));
        return "{\"Lease\":" + revision + ",\"TtlMs\":" + ttlMillis + "}";
    }

    private void keep(HttpExchange call, long id) throws IOException {
        Lease renewed;
        synchronized (this) {
            expire();
            renewed = leases.computeIfPresent(
                id, (key, held) -> new Lease(held.ttlMillis, System.currentTimeMillis() + held.ttlMillis));
        }
        respond(call, renewed == null ? 404 : 200, renewed == null ? "{}" : "{\"TtlMs\":" + renewed.ttlMillis + "}");
    }

    private synchronized void end(long id) {
        leases.remove(id);
        List<String> owned = rows.values().stream().filter(row -> row.lease == id).map(Row::key).toList();
        for (String key : owned) remove(key, ++revision);
    }

    private void expire() {
        long now = System.currentTimeMillis();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.expiresAt <= now) ended.add(id);
        });
        ended.forEach(this::end);
    }

    private void write(String key, String value, long lease, long at) {
        Row before = rows.get(key);
        Row row = new Row(key, value, at, before == null ? at : before.created, lease);
        rows.put(key, row);
        events.add(new Event(key, at, row.json()));
        notifyAll();
    }

    private void remove(String key, long at) {
        if (key.isEmpty() || rows.remove(key) == null) return;
        events.add(new Event(key, at, "{\"Key\":\"" + key + "\",\"Revision\":" + at + ",\"Deleted\":true}"));
        notifyAll();
    }

    private static void respond(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private static long id(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static long number(String body, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> fields = new HashMap<>();
        if (raw == null) return fields;
        for (String part : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals < 0) continue;
            fields.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return fields;
    }
}
