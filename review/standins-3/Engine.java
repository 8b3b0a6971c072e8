import java.io.Closeable;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of a model runner, after the pages "Requests", "Runners" and "Service discovery". It holds a range of layers
 * by order, and serves requests whose path is itself alone. It starts empty, also after a crash.
 */
final class Engine implements Closeable {
    static final int HEARTBEAT_MILLIS = 1_200;

    /** What the runners of a service have in common. */
    static final class Fleet {
        final Store store;
        final Record record;
        final String service;
        final int layers;
        int events = 40;
        int eventMillis = 50;
        int prefillMillis = 40;
        int restartMillis = 2_000;

        /** True if a runner whose request crashes it loses power; otherwise its process ends. */
        boolean goesDark;

        /** Part of a prompt that makes each runner crash that begins to write an answer on it; null if there is none. */
        volatile String deadlyPart;
        final AtomicInteger crashes = new AtomicInteger();
        final AtomicInteger deadlyArrivals = new AtomicInteger();

        /** Called with the attempt id as a request with the deadly part arrives. */
        volatile java.util.function.Consumer<String> onDeadlyArrival = id -> { };
        volatile java.util.function.Consumer<Engine> onCrash = engine -> { };

        Fleet(Store store, Record record, String service, int layers) {
            this.store = store;
            this.record = record;
            this.service = service;
            this.layers = layers;
        }
    }

    private static final AtomicInteger NUMBERS = new AtomicInteger(0x1000);
    private static final String ATTEMPT = "X-Mimosatrail-Attempt-Id";
    private final Fleet fleet;
    private final String zone;
    private final String kind;
    private final int slots;
    private final int port;
    private volatile Http.Server server;
    private volatile String id;
    private volatile long born;
    private volatile long lastBeat;
    private volatile int first;
    private volatile int end;
    private volatile boolean isBusy;
    private volatile boolean isUp;
    private volatile boolean isClosed;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger active = new AtomicInteger();

    Engine(Fleet fleet, String zone, String kind, int slots) throws IOException {
        this.fleet = fleet;
        this.zone = zone;
        this.kind = kind;
        this.slots = slots;
        server = new Http.Server(0, this::handle);
        port = server.port();
        boot();
        Http.start("heartbeat", () -> {
            while (!isClosed) {
                Thread.sleep(HEARTBEAT_MILLIS);
                if (isUp) register();
            }
        });
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    String id() {
        return id;
    }

    boolean isServing() {
        return isUp && !isBusy && first == 0 && end == fleet.layers;
    }

    int active() {
        return active.get();
    }

    /** Ends as a process that is killed; a new one is back at the same address after {@code millis}. */
    void crash(long millis) {
        synchronized (this) {
            if (!isUp) return;
            isUp = false;
        }
        String ended = id;
        fleet.crashes.incrementAndGet();
        fleet.record.line("runner %s crashes with %d requests at work", ended, active.get());
        fleet.onCrash.accept(this);
        Http.Server old = server;
        Http.start("crash", old::close);
        Http.start("restart", () -> {
            Thread.sleep(millis);
            if (isClosed) return;
            server = new Http.Server(port, this::handle);
            boot();
        });
        Http.start("expiry", () -> {
            // The entry of a silent runner is removed after three ping intervals.
            Thread.sleep(3 * HEARTBEAT_MILLIS);
            fleet.store.delete("servers/" + ended);
        });
    }

    /** Loses power for {@code millis}: its channels hang, and new ones too. Then a new one is at the same address. */
    private void goDark(long millis) throws IOException {
        synchronized (this) {
            if (!isUp) return;
            isUp = false;
        }
        String ended = id;
        long expiresAt = lastBeat + 3 * HEARTBEAT_MILLIS;
        fleet.crashes.incrementAndGet();
        fleet.record.line("runner %s goes dark with %d requests at work", ended, active.get());
        fleet.onCrash.accept(this);
        Http.Server old = server;
        old.stopListening();
        ServerSocket silent = DarkPlain.listenInSilence(port);
        List<SocketChannel> waiting = DarkPlain.fillQueue(silent);
        Http.start("restart", () -> {
            Thread.sleep(millis);
            silent.close();
            for (SocketChannel channel : waiting) channel.close();
            old.close();
            if (isClosed) return;
            server = DarkPlain.retry(() -> new Http.Server(port, this::handle));
            boot();
        });
        Http.start("expiry", () -> {
            // The entry of a silent runner is removed after three ping intervals.
            Thread.sleep(Math.max(0, expiresAt - System.currentTimeMillis()));
            fleet.store.delete("servers/" + ended);
        });
    }

    /** Waits without a word until the connection is reset if {@code own} has no power any more. */
    private void hangIfDark(String own) throws InterruptedException {
        if (fleet.goesDark && !(isUp && own.equals(id))) Thread.sleep(200_000);
    }

    @Override
    public void close() {
        isClosed = true;
        server.close();
    }

    private void boot() {
        id = "i-" + Integer.toHexString(NUMBERS.incrementAndGet()) + "a" + Integer.toHexString(port);
        born = System.currentTimeMillis();
        first = 0;
        end = 0;
        isBusy = false;
        sequence.set(0);
        active.set(0);
        isUp = true;
        register();
        fleet.record.line("runner %s starts at %s", id, address());
    }

    private String layers() {
        return end == first ? "[]" : "[{\"Source\":" + first + ",\"To\":" + end + ",\"Version\":1}]";
    }

    private void register() {
        lastBeat = System.currentTimeMillis();
        fleet.store.put("servers/" + id, "{\"Service\":\"" + fleet.service + "\",\"Address\":\"" + address()
            + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":" + slots
            + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"m0\","
            + "\"Version\":1,\"Adapters\":[]}],\"RouteKind\":\"" + kind + "\",\"Layers\":" + layers()
            + ",\"Sequence\":" + System.currentTimeMillis() + ",\"born\":" + born + "}");
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        String expected = request.header("X-Mimosatrail-Expected-Instance");
        String attempt = request.header(ATTEMPT);
        String own = id;
        hangIfDark(own);
        String echo = attempt == null ? "" : ATTEMPT + ": " + attempt + "\r\n";
        if (expected != null && !expected.equals(own)) {
            connection.answer(421, echo + "X-Mimosatrail-Instance-Id: " + own + "\r\n", "");
            return;
        }
        switch (request.target()) {
            case "/report" -> connection.answer(200, "Content-Type: application/json\r\n", report());
            case "/order" -> order(connection, Json.object(request.text()));
            case "/health" -> connection.answer(200, "X-Mimosatrail-Instance-Id: " + own + "\r\n", "");
            default -> run(connection, request, attempt, echo);
        }
    }

    private String report() {
        return "{\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}],\"Busy\":" + isBusy
            + ",\"Sequence\":" + sequence.get() + ",\"Queued\":0,\"Active\":" + active.get()
            + ",\"KvUsed\":0,\"KvTotal\":100000,\"Handles\":0,\"pace\":1.0,\"StalledServers\":[],\"Layers\":"
            + layers() + "}";
    }

    private void order(Http.Connection connection, Map<String, Object> order) throws IOException {
        if (!"place".equals(order.get("Operation"))) {
            connection.answer(404, "", "");
            return;
        }
        Object number = order.get("Expected");
        if (number != null && (Long) number != sequence.get()) {
            connection.answer(409, "", "");
            return;
        }
        int from = (int) (long) (Long) order.get("Source");
        int to = (int) (long) (Long) order.get("To");
        if (from == first && to == end) {
            connection.answer(200, "", "");
            return;
        }
        sequence.incrementAndGet();
        isBusy = true;
        String loading = id;
        fleet.record.line("runner %s loads the layers %d to %d", loading, from, to);
        Http.start("load", () -> {
            Thread.sleep(300);
            if (!loading.equals(id) || !isUp) return;
            first = from;
            end = to;
            isBusy = false;
            register();
        });
        connection.answer(202, "", "");
    }

    private void run(Http.Connection connection, Http.Message request, String attempt, String echo) throws Exception {
        String path = request.header("X-Mimosatrail-Hop-Count");
        String whole = address() + "=0-" + fleet.layers;
        if (!whole.equals(path) || !isServing()) {
            connection.answer(421, echo + "At-Server: " + address() + "\r\n", "");
            return;
        }
        String prompt = request.header("X-Mimosatrail-Prompt-Prefix");
        boolean isDeadly = fleet.deadlyPart != null && prompt != null && prompt.contains(fleet.deadlyPart);
        if (isDeadly) {
            fleet.deadlyArrivals.incrementAndGet();
            fleet.onDeadlyArrival.accept(attempt);
        }
        String own = id;
        if (active.incrementAndGet() > slots) {
            active.decrementAndGet();
            connection.answer(503, echo + "X-Mimosatrail-Not-Executed: 1\r\nAt-Server: " + address() + "\r\n", "");
            return;
        }
        fleet.record.line("runner %s gets request %s%s", own, attempt, isDeadly ? " with the deadly part" : "");
        try {
            Thread.sleep(fleet.prefillMillis);
            if (isDeadly && !fleet.goesDark) {
                crash(fleet.restartMillis);
                return;
            }
            if (isDeadly) goDark(fleet.restartMillis);
            hangIfDark(own);
            connection.write("HTTP/1.1 200 OK\r\n" + echo + "X-Mimosatrail-Runner-Seal: " + own + "." + attempt
                + "\r\nX-Mimosatrail-Runner-Load: " + active.get() + ",0," + slots
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            String last = request.header("Last-Event-Id");
            for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= fleet.events; event++) {
                hangIfDark(own);
                chunk(connection, "id: " + event + "\ndata: " + event + " of " + attempt + "\n\n");
                Thread.sleep(fleet.eventMillis);
            }
            connection.write("0\r\n\r\n");
        } finally {
            if (own.equals(id)) active.decrementAndGet();
        }
    }

    private static void chunk(Http.Connection connection, String text) throws IOException {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        connection.write(Integer.toHexString(length) + "\r\n" + text + "\r\n");
    }
}
