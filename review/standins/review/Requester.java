package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A requester that keeps one channel for its requests and opens a new one when that has ended. */
final class Requester implements AutoCloseable {
    /** A complete answer. */
    record Answer(Http.Head head, byte[] body) {
        int status() {
            return head.status();
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static final int PART_BYTES = 40_000;

    private final int port;
    private final int partMillis;
    private Socket socket;
    private InputStream in;

    Requester(int port) {
        this(port, 0);
    }

    /** A requester whose link takes {@code partMillis} for 40 kB of a body. */
    Requester(int port, int partMillis) {
        this.port = port;
        this.partMillis = partMillis;
    }

    /** Sends a request and returns its answer. Throws an IOException if there is no complete one. */
    Answer send(String method, String path, String id, int deadlineMillis, String fields, byte[] body)
        throws IOException {
        if (socket == null) connect();
        try {
            socket.setSoTimeout(deadlineMillis + 1_000);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Manifests.HOST + "\r\n"
                + "X-Mimosatrail-Attempt-Id: " + id + "\r\nX-Mimosatrail-Deadline-Remaining: " + deadlineMillis
                + "\r\nAuthorization: Bearer " + Manifests.KEY + "\r\n" + fields + "Content-Length: " + body.length
                + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            write(body);
            Http.Head answer = Http.readHead(in);
            if (answer == null) throw new IOException("the channel ended without an answer");
            byte[] bytes = Http.readBody(in, answer);
            if (answer.field("connection").equalsIgnoreCase("close")) close();
            return new Answer(answer, bytes);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /** Sends a long body at the pace of the requester's link, any other at once. */
    private void write(byte[] body) throws IOException {
        for (int from = 0; from < body.length; from += PART_BYTES) {
            socket.getOutputStream().write(body, from, Math.min(PART_BYTES, body.length - from));
            if (partMillis > 0 && body.length > PART_BYTES) pause(partMillis);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void connect() throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
        socket = null;
    }
}
