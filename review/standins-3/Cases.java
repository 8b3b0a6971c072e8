import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/** What the cases have in common. */
final class Cases {
    /** Exit codes; others mean that the case could not run. */
    static final int BROKEN = 11;
    static final int HELD = 10;

    private Cases() {
    }

    /** How requests of one kind ended. */
    static final class Count {
        private int sent;
        private int served;
        private final Map<String, Integer> ends = new TreeMap<>();

        synchronized int sent() {
            return sent;
        }

        synchronized double share() {
            return sent == 0 ? 0 : (double) served / sent;
        }

        synchronized void onSent() {
            sent++;
        }

        synchronized void onEnd(Requester.Answer answer) {
            boolean isServed = answer.status == 200 && answer.isComplete;
            if (isServed) served++;
            ends.merge(answer.status + (answer.isComplete ? "" : " broken off"), 1, Integer::sum);
        }

        @Override
        public synchronized String toString() {
            return sent + " sent, " + served + " served, ends " + ends;
        }
    }

    static void await(int seconds, BooleanSupplier condition) throws Exception {
        for (int i = 0; i < seconds * 20 && !condition.getAsBoolean(); i++) Thread.sleep(50);
        if (!condition.getAsBoolean()) throw new IllegalStateException("the deployment did not get ready");
    }

    /** Sends one request for a stream, records it and counts how it ends. */
    static Requester.Answer stream(Record record, String front, String target, Count count) {
        String id = Requester.newId();
        count.onSent();
        record.line("sent %s %s to %s", id, target, front);
        String more = "X-Mimosatrail-Model: m0\r\nX-Mimosatrail-Token-Count: 800,80\r\nX-Mimosatrail-Prompt-Prefix: "
            + "5c1e07a2:40," + id + ":760\r\n";
        Requester.Answer answer =
            Requester.send(front, Requester.request("POST", target, id, 20_000, more, "{\"log\":\"" + id + "\"}"), 21_000);
        count.onEnd(answer);
        record.line("answer to %s: %d, %d events, %s, after %.3f s %s", id, answer.status, answer.events,
            answer.isComplete ? "complete" : "broken off", answer.endedAt - answer.sentAt, answer.detail);
        return answer;
    }
}
