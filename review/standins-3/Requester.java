import java.io.IOException;
import java.util.Random;

/** Sends requests as the platform's requesters do, each on a new channel. */
final class Requester {
    private static final Random RANDOM = new Random(7);

    static final class Answer {
        /** 0 if there was none. */
        int status;
        int events;
        boolean isComplete;
        String retryAfter;
        String detail = "";
        double sentAt;
        double firstAt;
        double endedAt;
    }

    static synchronized String newId() {
        return String.format("%016x", RANDOM.nextLong());
    }

    static synchronized int random(int bound) {
        return RANDOM.nextInt(bound);
    }

    private Requester() {
    }

    /** Sends {@code text}, a whole request, and reads the answer to its end. */
    static Answer send(String address, String text, int timeoutMillis) {
        Answer answer = new Answer();
        answer.sentAt = Record.now();
        try (Http.Connection connection = Http.Connection.open(address, 1_000)) {
            connection.socket.setSoTimeout(timeoutMillis);
            connection.write(text);
            Http.Message head = connection.readHead();
            if (head == null) throw new IOException("closed without an answer");
            answer.status = head.status();
            answer.firstAt = Record.now();
            answer.retryAfter = head.header("Retry-After");
            if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
                for (byte[] chunk = connection.readChunk(); chunk.length > 0; chunk = connection.readChunk()) {
                    answer.events += new String(chunk).split("id: ", -1).length - 1;
                }
            } else {
                connection.readBody(head);
                answer.detail = head.text().trim();
            }
            answer.isComplete = true;
        } catch (IOException e) {
            answer.detail = e.toString();
        }
        answer.endedAt = Record.now();
        return answer;
    }

    static String request(String method, String target, String id, int deadlineMillis, String more, String body) {
        return method + " " + target + " HTTP/1.1\r\nHost: inspect.example\r\nX-Mimosatrail-Attempt-Id: " + id
            + "\r\nX-Mimosatrail-Deadline-Remaining: " + deadlineMillis
            + "\r\nAuthorization: Bearer key-of-tenant-1\r\n" + more
            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }
}
