import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/**
 * Stand-in of a runner of a plain service, after the pages "Runners" and "Service discovery", whose machine can lose power
 * for a while: its channels hang, and new ones too. It is back at the same address and knows nothing of before.
 */
final class DarkPlain implements Closeable {
    private static final AtomicInteger NUMBERS = new AtomicInteger(0x3000);
    private static final String ATTEMPT = "X-Mimosatrail-Attempt-Id";

    /** More channels than the queue of a listener holds that nobody accepts from. */
    private static final int FULL_QUEUE = 4;
    private final Store store;
    private final Record record;
    private final String service;
    private final String zone;
    private final int workMillis;
    private final boolean keepsId;
    private final int port;
    private volatile Http.Server server;
    private volatile boolean isClosed;
    private boolean isUp;
    private String id;
    private long born;
    private long lastBeat;

    /** Called with the body and the attempt id as a request begins to run, and again when its work is done. */
    volatile BiConsumer<String, String> onRun = (body, attempt) -> { };
    volatile BiConsumer<String, String> onWorked = (body, attempt) -> { };

    DarkPlain(Store store, Record record, String service, String zone, int workMillis, boolean keepsId)
        throws IOException {
        this.store = store;
        this.record = record;
        this.service = service;
        this.zone = zone;
        this.workMillis = workMillis;
        this.keepsId = keepsId;
        server = new Http.Server(0, this::handle);
        port = server.port();
        boot();
        Http.start("heartbeat", () -> {
            while (!isClosed) {
                Thread.sleep(Engine.HEARTBEAT_MILLIS);
                beat();
            }
        });
    }

    synchronized String id() {
        return id;
    }

    /** Falls silent for {@code millis}. Returns false if it is silent already. */
    synchronized boolean goDark(long millis) throws IOException {
        if (!isUp) return false;
        isUp = false;
        String ended = id;
        long expiresAt = lastBeat + 3 * Engine.HEARTBEAT_MILLIS;
        record.line("runner %s goes dark", ended);
        Http.Server old = server;
        old.stopListening();
        ServerSocket full = listenInSilence(port);
        List<SocketChannel> waiting = fillQueue(full);
        Http.start("restart", () -> {
            Thread.sleep(millis);
            full.close();
            for (SocketChannel channel : waiting) channel.close();
            old.close();
            if (isClosed) return;
            server = restart();
            boot();
        });
        Http.start("expiry", () -> {
            // The entry of a silent runner is removed after three ping intervals.
            Thread.sleep(Math.max(0, expiresAt - System.currentTimeMillis()));
            if (!ended.equals(registeredId())) store.delete("servers/" + ended);
        });
        return true;
    }

    @Override
    public void close() {
        isClosed = true;
        server.close();
    }

    /** Listens at {@code port} and accepts nothing. */
    static ServerSocket listenInSilence(int port) throws IOException {
        return retry(() -> {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1);
            return socket;
        });
    }

    /** Fills the queue of {@code listener}, so that further channels to it hang. */
    static List<SocketChannel> fillQueue(ServerSocket listener) throws IOException {
        List<SocketChannel> waiting = new ArrayList<>();
        for (int i = 0; i < FULL_QUEUE; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(listener.getLocalSocketAddress());
            waiting.add(channel);
        }
        return waiting;
    }

    private Http.Server restart() throws IOException {
        return retry(() -> new Http.Server(port, this::handle));
    }

    interface Listener<T> {
        T open() throws IOException;
    }

    /** Tries again for a second, since the system frees the address of a closed listener a moment later. */
    static <T> T retry(Listener<T> listener) throws IOException {
        for (int i = 1; ; i++) {
            try {
                return listener.open();
            } catch (BindException e) {
                if (i == 50) throw e;
                sleep(20);
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized String registeredId() {
        return isUp ? id : "";
    }

    private synchronized void boot() {
        if (id == null || !keepsId) id = "i-" + Integer.toHexString(NUMBERS.incrementAndGet()) + "c";
        born = System.currentTimeMillis();
        isUp = true;
        beat();
        record.line("runner %s of %s starts at 127.0.0.1:%d", id, service, port);
    }

    private synchronized void beat() {
        if (!isUp) return;
        lastBeat = System.currentTimeMillis();
        store.put("servers/" + id, "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + port
            + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0"
            + ",\"Sequence\":" + lastBeat + ",\"born\":" + born + "}");
    }

    /** True while the process that started at {@code start} goes on. */
    private synchronized boolean isAlive(long start) {
        return isUp && born == start;
    }

    /** Waits without a word until the connection is reset. */
    private static void hang() throws InterruptedException {
        Thread.sleep(200_000);
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        long start;
        String own;
        synchronized (this) {
            start = born;
            own = id;
            if (!isUp) start = -1;
        }
        if (!isAlive(start)) hang();
        String attempt = request.header(ATTEMPT);
        String expected = request.header("X-Mimosatrail-Expected-Instance");
        String echo = attempt == null ? "" : ATTEMPT + ": " + attempt + "\r\n";
        if (expected != null && !expected.equals(own)) {
            connection.answer(421, echo + "X-Mimosatrail-Instance-Id: " + own + "\r\n", "");
            return;
        }
        if (request.target().equals("/health")) {
            connection.answer(200, "X-Mimosatrail-Instance-Id: " + own + "\r\n", "");
            return;
        }
        record.line("runner %s runs %s", own, attempt);
        onRun.accept(request.text(), attempt);
        Thread.sleep(workMillis);
        onWorked.accept(request.text(), attempt);
        if (!isAlive(start)) hang();
        connection.answer(200, echo + "X-Mimosatrail-Runner-Seal: " + own + "." + attempt
            + "\r\nX-Mimosatrail-Runner-Load: 1,0,6\r\nContent-Type: application/json\r\n",
            "{\"by\":\"" + own + "\",\"for\":\"" + attempt + "\"}");
    }
}
