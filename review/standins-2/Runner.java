import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner of the platform, which registers itself in the store. Each start is a new boot with a new id. What it does
 * with a request that it runs is up to the case.
 */
class Runner {
    /** One request that a runner received. */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {
        String attempt() {
            return headers.getOrDefault("x-mimosatrail-attempt-id", "");
        }
    }

    /** Runs a request: answers it over [out], or crashes the runner. Returns false if the channel ends with it. */
    interface Work {
        boolean run(Runner runner, Request request, OutputStream out) throws IOException, InterruptedException;
    }

    final String name;
    final int port = Stands.freePort();
    private final Store store;
    private final String service;
    private final String zone;
    private final int slots;
    private final Work work;
    private final int queue = 24;
    private final AtomicInteger taken = new AtomicInteger();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger boots = new AtomicInteger();
    private java.util.concurrent.Semaphore slot;
    private ServerSocket server;
    private long lease;
    volatile String id = "";
    volatile boolean isUp;

    Runner(Store store, String name, String service, String zone, int slots, Work work) {
        this.store = store;
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        Stands.every(1_200, this::beat);
    }

    /** Fields of the registration beside those that all runners have. */
    Map<String, Object> moreFields() {
        return Map.of();
    }

    /** Answers a call to the control interface, or returns false. */
    boolean control(Request request, OutputStream out) throws IOException {
        return false;
    }

    synchronized void start() {
        server = bind(256);
        slot = new java.util.concurrent.Semaphore(slots, true);
        taken.set(0);
        id = "i-" + name + "-" + boots.incrementAndGet();
        born = System.currentTimeMillis();
        isUp = true;
        lease = store.grant(3_600);
        register();
        ServerSocket listening = server;
        Stands.start(() -> accept(listening));
        Stands.log("runner " + name + " is up as " + id);
    }

    private long born;

    /** Tries again for a moment, as channels that were just accepted may hold the address. */
    private ServerSocket bind(int backlog) {
        for (int i = 0; ; i++) {
            try {
                ServerSocket listening = new ServerSocket();
                listening.setReuseAddress(true);
                listening.bind(new InetSocketAddress("127.0.0.1", port), backlog);
                return listening;
            } catch (IOException e) {
                if (i == 40) throw new IllegalStateException(e);
                if (i == 0) Stands.log("runner " + name + " cannot bind: " + e.getMessage());
                Stands.sleep(50);
            }
        }
    }

    void register() {
        Map<String, Object> entry = Json.object("Service", service, "Address", "127.0.0.1:" + port, "Zone", zone,
            "Version", "v1", "Slots", slots, "State", "ready", "ColdRemainingMs", 0, "Sequence", 1, "born", born);
        entry.putAll(moreFields());
        store.put("servers/" + id, Json.write(entry).getBytes(StandardCharsets.UTF_8), lease);
    }

    /** Ends all channels and stops listening, as the kernel does for a process that ends; starts again later. */
    synchronized void crash(long downMillis, String why) {
        if (!isUp) return;
        isUp = false;
        Stands.log("runner " + name + " (" + id + ") crashes: " + why);
        close();
        Stands.after(downMillis, this::start);
    }

    /** Falls silent, as a machine that has lost power does: its channels hang, and new ones too. */
    synchronized void goDark(long downMillis, String why) {
        if (!isUp) return;
        isUp = false;
        Stands.log("runner " + name + " (" + id + ") goes dark: " + why);
        try {
            server.close();
            ServerSocket full = bind(1);
            List<SocketChannel> waiting = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(full.getLocalSocketAddress());
                waiting.add(channel);
            }
            Stands.after(downMillis, () -> comeBack(full, waiting));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized void comeBack(ServerSocket full, List<SocketChannel> waiting) {
        try {
            full.close();
            for (SocketChannel channel : waiting) channel.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        sockets.forEach(Runner::closeQuietly);
        sockets.clear();
        start();
    }

    private void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        sockets.forEach(Runner::closeQuietly);
        sockets.clear();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            Stands.log("close failed: " + e.getMessage());
        }
    }

    private void beat() {
        if (isUp) store.renew(lease);
    }

    private void accept(ServerSocket listening) {
        while (true) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Stands.start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        String boot = id;
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                byte[] body = Http.readBody(in, head.headers());
                if (body == null) return;
                String[] line = head.line().split(" ");
                Request request = new Request(line[0], line[1], head.headers(), body);
                if (!answer(request, socket.getOutputStream(), boot)) return;
            }
        } catch (IOException | InterruptedException e) {
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean answer(Request request, OutputStream out, String boot) throws IOException, InterruptedException {
        String expected = request.headers().get("x-mimosatrail-expected-instance");
        if (expected != null && !expected.equals(boot)) {
            Http.write(out, 421, echo(request, "X-Mimosatrail-Instance-Id", boot), new byte[0]);
            return true;
        }
        if (control(request, out)) return true;
        if (request.path().equals("/health")) {
            Http.write(out, 200, echo(request, "X-Mimosatrail-Instance-Id", boot), new byte[0]);
            return true;
        }
        if (taken.incrementAndGet() > slots + queue) {
            taken.decrementAndGet();
            Http.write(out, 503, echo(request, "X-Mimosatrail-Not-Executed", "1"), new byte[0]);
            return true;
        }
        java.util.concurrent.Semaphore own = slot;
        own.acquire();
        try {
            Stands.log("run " + request.attempt() + " by " + name + " as " + boot);
            return work.run(this, request, out);
        } finally {
            own.release();
            taken.decrementAndGet();
        }
    }

    String load() {
        int used = taken.get();
        return Math.min(used, slots) + "," + Math.max(0, used - slots) + "," + slots;
    }

    Map<String, String> echo(Request request, String... more) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (!request.attempt().isEmpty()) headers.put("X-Mimosatrail-Attempt-Id", request.attempt());
        headers.put("X-Mimosatrail-Runner-Load", load());
        for (int i = 0; i < more.length; i += 2) headers.put(more[i], more[i + 1]);
        return headers;
    }

    /** The answer of a sound application: 800 bytes with a seal. */
    void answerWell(Request request, OutputStream out) throws IOException {
        byte[] body = new byte[800];
        java.util.Arrays.fill(body, (byte) 'a');
        Http.write(out, 200, echo(request, "X-Mimosatrail-Runner-Seal", "s." + request.attempt()), body);
    }
}
