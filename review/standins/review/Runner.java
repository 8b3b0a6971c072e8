package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a runner of a plain service. Serves one request at a time on a channel, runs `slots` requests at once,
 * queues a few more and refuses the rest with 503.
 */
class Runner implements AutoCloseable {
    private static final int QUEUE = 2;
    private static final int KEEP_ALIVE_SECONDS = 10;
    private static final int BODY_BYTES = 800;

    final String id;
    final Journal journal;
    private final ServerSocket listener;
    private final int slots;
    private final int workMillis;
    private final Runs runs;
    private final Semaphore free;
    private final AtomicInteger present = new AtomicInteger();

    /** Number of answers so far. */
    final AtomicInteger answers = new AtomicInteger();

    Runner(String id, int slots, int workMillis, Runs runs, Journal journal) throws IOException {
        this.id = id;
        this.slots = slots;
        this.workMillis = workMillis;
        this.runs = runs;
        this.journal = journal;
        free = new Semaphore(slots, true);
        listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Threads.daemon(id).newThread(this::accept).start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Keeps the runner's entry in the store up to date until the process ends. */
    void register(Store store, String zone) {
        long born = System.currentTimeMillis();
        Threads.daemon(id + "-pings").newThread(() -> {
            for (long sequence = 1; ; sequence++) {
                store.put("servers/" + id, Manifests.runner(address(), zone, slots, born, sequence));
                pause(1_200);
            }
        }).start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** Bytes that a faulty runner sends after a complete answer; none here. */
    byte[] bytesAfter(int status, byte[] answer) {
        return new byte[0];
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.daemon(id).newThread(() -> serve(socket)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            socket.setSoTimeout(KEEP_ALIVE_SECONDS * 1_000);
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                if (!head.field("content-length").isEmpty()) Http.readBody(in, head);
                answer(head, out);
            }
        } catch (IOException e) {
            // The channel has ended.
        }
    }

    private void answer(Http.Head head, OutputStream out) throws IOException {
        String request = head.field("X-Mimosatrail-Attempt-Id");
        String expected = head.field("X-Mimosatrail-Expected-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            send(out, 421, "421 Misdirected Request", "X-Mimosatrail-Instance-Id: " + id + "\r\n", request, "");
            return;
        }
        if (head.line().startsWith("GET /health")) {
            send(out, 200, "200 OK", "X-Mimosatrail-Instance-Id: " + id + "\r\n", request, "");
            return;
        }
        if (present.incrementAndGet() > slots + QUEUE) {
            present.decrementAndGet();
            journal.add(request + " refused by " + id + " with 503, not run");
            send(out, 503, "503 Service Unavailable", "X-Mimosatrail-Not-Executed: 1\r\n", request, "");
            return;
        }
        try {
            free.acquireUninterruptibly();
            runs.add(request);
            journal.add(request + " run by " + id);
            pause(workMillis);
            free.release();
        } finally {
            present.decrementAndGet();
        }
        String text = request + " recorded by " + id + " ";
        String body = text + "x".repeat(BODY_BYTES - text.length());
        send(out, 200, "200 OK", "X-Mimosatrail-Runner-Seal: " + id + "." + request + "\r\n", request, body);
    }

    private void send(OutputStream out, int status, String line, String field, String request, String body)
        throws IOException {
        String echo = request.isEmpty() ? "" : "X-Mimosatrail-Attempt-Id: " + request + "\r\n";
        String text = "HTTP/1.1 " + line + "\r\n" + field + echo + "Keep-Alive: timeout=" + KEEP_ALIVE_SECONDS
            + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        byte[] answer = text.getBytes(StandardCharsets.ISO_8859_1);
        answers.incrementAndGet();
        out.write(answer);
        out.flush();
        byte[] more = bytesAfter(status, answer);
        if (more.length == 0) return;
        journal.add(id + " sends after the answer to " + request + ": "
            + new String(more, StandardCharsets.ISO_8859_1).replace("\r\n", "\\r\\n"));
        out.write(more);
        out.flush();
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
