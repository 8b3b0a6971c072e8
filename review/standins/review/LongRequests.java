package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requesters of one zone send reports to the entry of that zone, some short and some with long logs that stay within the
 * limits of the manifest. For some seconds more of them come. Checks CONFIG: requests get a final answer by the time-out
 * of their route.
 */
public final class LongRequests {
    private static final int SHORT_CREWS = 12;
    private static final int LONG_CREWS = 14;
    private static final double BURST = 1.7;
    private static final long BURST_MILLIS = 3_000;
    private static final long CALM_MILLIS = 5_000;
    private static final long TRAFFIC_MILLIS = 25_000;
    private static final int LOG_BYTES = 4_000_000;
    private static final int DEADLINE_MILLIS = 2_500;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int GRACE_MILLIS = 500;
    /** Time that a requester's link takes for 40 kB; a long report takes about a second. */
    private static final int PART_MILLIS = 10;
    private static final int PAUSE_MILLIS = 300;

    /** What became of the requests of one size. */
    private static final class Tally {
        int late;
        int unanswered;
        final Map<String, Integer> byAnswer = new TreeMap<>();

        @Override
        public String toString() {
            return byAnswer + ", unanswered at the time-out: " + late + ", of these also half a second later: "
                + unanswered;
        }

        /** Eight or more, and over a quarter, of those that last longer than the time-out. */
        boolean isBroken() {
            return unanswered >= 8 && unanswered * 4 > late;
        }
    }

    private final Journal journal;
    private final Tally shortOnes = new Tally();
    private final Tally longOnes = new Tally();

    private LongRequests(Journal journal) {
        this.journal = journal;
    }

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review");
        int result = 2;
        try (Journal journal = new Journal(Path.of(arguments[0], "record.txt")); Store store = new Store()) {
            result = new LongRequests(journal).run(store, temporary, isTroubled) ? 0 : 1;
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.exit(result);
    }

    private boolean run(Store store, Path temporary, boolean isTroubled) throws Exception {
        Runs runs = new Runs();
        store.put("op/config", Manifests.manifest(1,
            Manifests.route("defects", "non_idempotent", TIMEOUT_MILLIS, 193, "defects", "")));
        Entry entry = new Entry("edge-lulea-1", "lulea", store.address(), temporary);
        for (String zone : List.of("lulea", "umea", "kiruna")) {
            new Runner("i-" + zone, 6, 43, runs, journal).register(store, zone);
        }
        entry.awaitReady();
        long from = journal.millis();
        long burstFrom = from + CALM_MILLIS;
        long until = from + TRAFFIC_MILLIS;
        List<Thread> crews = new ArrayList<>();
        crews.addAll(crews("s", SHORT_CREWS, entry, from, until));
        crews.addAll(crews("l", LONG_CREWS, entry, from, until));
        if (isTroubled) {
            journal.add("burst from " + burstFrom + " to " + (burstFrom + BURST_MILLIS) + " ms");
            crews.addAll(crews("bs", added(SHORT_CREWS), entry, burstFrom, burstFrom + BURST_MILLIS));
            crews.addAll(crews("bl", added(LONG_CREWS), entry, burstFrom, burstFrom + BURST_MILLIS));
        }
        crews.forEach(Thread::start);
        for (Thread crew : crews) crew.join();
        journal.say("short requests: " + shortOnes);
        journal.say("long requests: " + longOnes);
        journal.say("the entry " + (entry.isAlive() ? "runs" : "has ended") + " and is "
            + (entry.isReady() ? "ready" : "not ready"));
        return !shortOnes.isBroken();
    }

    private static int added(int crews) {
        return (int) (crews * (BURST - 1));
    }

    private List<Thread> crews(String name, int count, Entry entry, long from, long until) {
        List<Thread> crews = new ArrayList<>();
        for (int crew = 0; crew < count; crew++) {
            String id = name + crew;
            crews.add(new Thread(() -> work(id, name.endsWith("l") ? LOG_BYTES : 16, entry, from, until)));
        }
        return crews;
    }

    private void work(String crew, int bytes, Entry entry, long from, long until) {
        byte[] body = "heater log line\n".repeat(bytes / 16).getBytes();
        pause(from - journal.millis());
        try (Requester requester = new Requester(entry.front, PART_MILLIS)) {
            for (int count = 0; journal.millis() < until; count++) {
                String id = crew + "-" + count;
                long sentAt = journal.millis();
                String answer;
                try {
                    answer = Integer.toString(
                        requester.send("POST", "/defects/report", id, DEADLINE_MILLIS, "", body).status());
                } catch (IOException e) {
                    answer = "none: " + e.getMessage();
                }
                long took = journal.millis() - sentAt;
                journal.add(id + ", " + bytes + " bytes, sent at " + sentAt + ", answer " + answer + " after " + took);
                tally(bytes == LOG_BYTES ? longOnes : shortOnes, answer, took);
                pause(PAUSE_MILLIS);
            }
        }
    }

    /** A channel that ends is an answer that promises nothing; only silence counts as none. */
    private synchronized void tally(Tally tally, String answer, long took) {
        tally.byAnswer.merge(answer, 1, Integer::sum);
        if (took > TIMEOUT_MILLIS) tally.late++;
        if (took > TIMEOUT_MILLIS + GRACE_MILLIS) tally.unanswered++;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
