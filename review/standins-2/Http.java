import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A requester that opens a channel for each request, and the parsing of requests and answers. */
final class Http {
    /** Status 0: the channel ended without a complete answer; -1: no answer in time; -2: no channel. */
    record Answer(int status, Map<String, String> headers, byte[] body, String detail) {}

    /** The first line and the headers, by their lower-case names. */
    record Head(String line, Map<String, String> headers) {}

    private Http() {}

    static Answer send(int port, String method, String path, Map<String, String> headers, byte[] body, long millis) {
        try (Socket socket = new Socket()) {
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            } catch (IOException e) {
                return new Answer(-2, Map.of(), new byte[0], String.valueOf(e.getMessage()));
            }
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) millis);
            socket.getOutputStream().write(request(method, path, headers, body));
            return readAnswer(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            return new Answer(-1, Map.of(), new byte[0], "no answer in time");
        } catch (IOException e) {
            return new Answer(0, Map.of(), new byte[0], String.valueOf(e.getMessage()));
        }
    }

    static byte[] request(String method, String path, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0) head.append("Content-Length: ").append(body.length).append("\r\n");
        byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        return all;
    }

    static Answer readAnswer(InputStream in) throws IOException {
        Head head = readHead(in);
        if (head == null) return new Answer(0, Map.of(), new byte[0], "closed without an answer");
        int status = Integer.parseInt(head.line.split(" ")[1]);
        byte[] body = readBody(in, head.headers);
        if (body == null) return new Answer(0, head.headers, new byte[0], "broken off after a head of " + status);
        return new Answer(status, head.headers, body, "");
    }

    /** Returns null at the end of the channel. */
    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) return null;
            bytes.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : (b == '\r' ? 1 : 0);
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) headers.put(lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).trim());
        }
        return new Head(lines[0], headers);
    }

    /** Returns null if the body is not complete. */
    static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) return null;
                int length = Integer.parseInt(line.trim(), 16);
                byte[] part = in.readNBytes(length);
                if (part.length < length || readLine(in) == null) return null;
                if (length == 0) return body.toByteArray();
                body.write(part);
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : body;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int b = in.read();
            if (b < 0) return null;
            if (b == '\n') return line.toString().trim();
            line.append((char) b);
        }
    }

    static void write(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] first = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        out.write(all);
        out.flush();
    }
}
