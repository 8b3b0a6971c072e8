package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Stand-in of a runner of a plain service that begins to answer a long request before it has read all of it. Its
 * answers have no length and end with their channel. While {@link #isFaulty} says so, it resets the channel midway.
 */
abstract class EarlyRunner {
    private static final int SLOTS = 6;
    private static final int READ_BEFORE_ANSWER = 64 * 1024;
    private static final int RECEIVE_BUFFER = 32 * 1024;
    private static final int BODY_BYTES = 800;
    private static final int FIRST_PART = 300;
    private static final int WORK_MILLIS = 43;

    final String id;
    final Journal journal;
    private final ServerSocket listener;

    EarlyRunner(String id, Journal journal) throws IOException {
        this.id = id;
        this.journal = journal;
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Threads.daemon(id).newThread(this::accept).start();
    }

    /** True if the runner resets the channel of the next answer. */
    abstract boolean isFaulty();

    /** The whole body of the answer to a request. */
    static String body(String request) {
        return request + " recorded " + "x".repeat(BODY_BYTES - request.length() - 10);
    }

    void register(Store store, String zone) {
        long born = System.currentTimeMillis();
        String address = "127.0.0.1:" + listener.getLocalPort();
        Threads.daemon(id + "-pings").newThread(() -> {
            for (long sequence = 1; ; sequence++) {
                store.put("servers/" + id, Manifests.runner(address, zone, SLOTS, born, sequence));
                pause(1_200);
            }
        }).start();
    }

    private void accept() {
        while (true) {
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
            Http.Head head = Http.readHead(in);
            if (head == null) return;
            long left = head.field("content-length").isEmpty() ? 0 : Long.parseLong(head.field("content-length"));
            left -= in.readNBytes((int) Math.min(left, READ_BEFORE_ANSWER)).length;
            pause(WORK_MILLIS);
            boolean isReset = isFaulty();
            String request = head.field("X-Mimosatrail-Attempt-Id");
            String body = body(request);
            String start = "HTTP/1.1 200 OK\r\nX-Mimosatrail-Attempt-Id: " + request + "\r\nX-Mimosatrail-Runner-Seal: "
                + id + "." + request + "\r\nConnection: close\r\n\r\n" + body.substring(0, FIRST_PART);
            OutputStream out = socket.getOutputStream();
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            pause(WORK_MILLIS);
            if (isReset) {
                journal.add(id + " resets the channel of " + request + " after " + FIRST_PART + " of "
                    + body.length() + " bytes of its answer; " + left + " bytes of the request not read");
                socket.setSoLinger(true, 0);
                return;
            }
            out.write(body.substring(FIRST_PART).getBytes(StandardCharsets.ISO_8859_1));
            in.skipNBytes(left);
            journal.add(id + " has answered " + request + " in full");
        } catch (IOException e) {
            journal.add(id + ": a channel ended: " + e.getMessage());
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
