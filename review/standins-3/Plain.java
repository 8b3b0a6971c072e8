import java.io.Closeable;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a runner of a plain service, after the pages "Runners" and "Service discovery". */
final class Plain implements Closeable {
    private static final AtomicInteger NUMBERS = new AtomicInteger(0x2000);
    private static final String ATTEMPT = "X-Mimosatrail-Attempt-Id";
    private final Store store;
    private final Record record;
    private final String service;
    private final String zone;
    private final int workMillis;
    private final Http.Server server;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger active = new AtomicInteger();
    private volatile boolean isClosed;
    final String id = "i-" + Integer.toHexString(NUMBERS.incrementAndGet()) + "b";

    /** The ids of all requests that it ran. */
    final Set<String> runs = ConcurrentHashMap.newKeySet();

    Plain(Store store, Record record, String service, String zone, int workMillis) throws IOException {
        this.store = store;
        this.record = record;
        this.service = service;
        this.zone = zone;
        this.workMillis = workMillis;
        server = new Http.Server(0, this::handle);
        register();
        record.line("runner %s of %s starts at %s", id, service, server.address());
        Http.start("heartbeat", () -> {
            while (!isClosed) {
                Thread.sleep(Engine.HEARTBEAT_MILLIS);
                register();
            }
        });
    }

    String address() {
        return server.address();
    }

    @Override
    public void close() {
        isClosed = true;
        server.close();
    }

    private void register() {
        store.put("servers/" + id, "{\"Service\":\"" + service + "\",\"Address\":\"" + server.address()
            + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0"
            + ",\"Sequence\":" + System.currentTimeMillis() + ",\"born\":" + born + "}");
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        String attempt = request.header(ATTEMPT);
        String expected = request.header("X-Mimosatrail-Expected-Instance");
        String echo = attempt == null ? "" : ATTEMPT + ": " + attempt + "\r\n";
        if (expected != null && !expected.equals(id)) {
            connection.answer(421, echo + "X-Mimosatrail-Instance-Id: " + id + "\r\n", "");
            return;
        }
        if (request.target().equals("/health")) {
            connection.answer(200, "X-Mimosatrail-Instance-Id: " + id + "\r\n", "");
            return;
        }
        runs.add(attempt);
        record.line("runner %s runs %s %s", id, request.method(), attempt);
        int load = active.incrementAndGet();
        try {
            Thread.sleep(workMillis);
        } finally {
            active.decrementAndGet();
        }
        connection.answer(200, echo + "X-Mimosatrail-Runner-Seal: " + id + "." + attempt
            + "\r\nX-Mimosatrail-Runner-Load: " + load + ",0,6\r\nContent-Type: application/json\r\n",
            "{\"by\":\"" + id + "\",\"for\":\"" + attempt + "\"}");
    }
}
