package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    /** A message's first line and its headers, with names in lower case. */
    record Head(String line, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(), "");
        }

        int status() {
            String[] words = line.split(" ");
            return words.length > 1 && words[1].matches("\\d+") ? Integer.parseInt(words[1]) : 0;
        }
    }

    private Http() {}

    /** The next head, or null if the peer closed the connection before one. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Map<String, String> fields = new LinkedHashMap<>();
        while (true) {
            String field = readLine(in);
            if (field == null) throw new IOException("the connection ended within a head");
            if (field.isEmpty()) return new Head(line, fields);
            int colon = field.indexOf(':');
            if (colon > 0) fields.put(field.substring(0, colon).toLowerCase(), field.substring(colon + 1).trim());
        }
    }

    /** The body of a response. Throws an IOException if it is not complete. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) return readChunks(in);
        if (head.field("content-length").isEmpty()) return in.readAllBytes();
        int length = Integer.parseInt(head.field("content-length"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new IOException("the body ended after " + body.length + " of " + length);
        return body;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new IOException("the body ended without its last chunk");
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) throw new IOException("the body ended within a chunk");
            body.write(chunk);
            readLine(in);
            if (length == 0) return body.toByteArray();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new IOException("the connection ended within a line");
            }
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
    }
}
