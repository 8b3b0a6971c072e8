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

    private final int port;
    private Socket socket;
    private InputStream in;

    Requester(int port) {
        this.port = port;
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
            socket.getOutputStream().write(body);
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
