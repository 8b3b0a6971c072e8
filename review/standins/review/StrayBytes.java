package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A faulty runner sends the beginning of a second copy after some of its refusals and keeps the channel. Crews record
 * defects meanwhile, at times more at once than the runners take. Checks TWICE and REFUSED.
 */
public final class StrayBytes {
    private static final List<String> ZONES = List.of("lulea", "umea", "kiruna");
    private static final int CREWS = 34;
    private static final int LONGEST_PAUSE_MILLIS = 60;
    private static final int SLOTS = 6;
    private static final int WORK_MILLIS = 43;
    private static final int DEADLINE_MILLIS = 2_500;
    private static final long START_MILLIS = 9_000;
    private static final long CALM_MILLIS = 3_000;
    private static final long TROUBLE_MILLIS = 5_000;
    private static final long TRAFFIC_MILLIS = 10_000;

    /** Share of the faulty runner's answers that are followed by other bytes. */
    private static final double SPOILED_SHARE = 0.02;
    private static final long SPOILED_INTERVAL_MILLIS = 150;

    /** The runner that spoils answers during the trouble. */
    private static final class FaultyRunner extends Runner {
        private final long troubleFrom;
        private int spoiled;
        private long spoiledAt;

        FaultyRunner(String id, Runs runs, Journal journal, long troubleFrom) throws IOException {
            super(id, SLOTS, WORK_MILLIS, runs, journal);
            this.troubleFrom = troubleFrom;
        }

        @Override
        synchronized byte[] bytesAfter(int status, byte[] answer) {
            long now = journal.millis();
            boolean isTrouble = now >= troubleFrom && now < troubleFrom + TROUBLE_MILLIS;
            if (now - spoiledAt < SPOILED_INTERVAL_MILLIS) return new byte[0];
            if (!isTrouble || status != 503 || spoiled + 1 > answers.get() * SPOILED_SHARE) return new byte[0];
            spoiled++;
            spoiledAt = now;
            // The copy breaks off at the end of its second line.
            return Arrays.copyOf(answer, new String(answer).indexOf("\r\nX-Mimosatrail-Attempt-Id"));
        }
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review");
        int result = 2;
        try (Journal journal = new Journal(folder.resolve("record.txt")); Store store = new Store()) {
            result = run(journal, store, temporary, isTroubled) ? 0 : 1;
        } catch (Exception e) {
            System.out.println("could not run: " + e);
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static boolean run(Journal journal, Store store, Path temporary, boolean isTroubled) throws Exception {
        Runs runs = new Runs();
        store.put("op/config", Manifests.manifest(1,
            Manifests.route("defects", "non_idempotent", 2_500, 193, "defects", "")));
        List<Entry> entries = new ArrayList<>();
        try {
            for (String zone : ZONES) entries.add(new Entry("edge-" + zone + "-1", zone, store.address(), temporary));
            long started = journal.millis();
            for (String zone : ZONES) {
                boolean isFaulty = isTroubled && zone.equals("lulea");
                Runner runner = isFaulty
                    ? new FaultyRunner("i-" + zone, runs, journal, started + START_MILLIS)
                    : new Runner("i-" + zone, SLOTS, WORK_MILLIS, runs, journal);
                runner.register(store, zone);
            }
            for (Entry entry : entries) entry.awaitReady();
            Thread.sleep(Math.max(0, started + START_MILLIS - CALM_MILLIS - journal.millis()));
            Map<String, String> answers = record(entries, journal);
            return check(runs, answers, journal);
        } finally {
            entries.forEach(Entry::close);
        }
    }

    /** Lets the crews record defects, one after the other each, and returns the answers by request. */
    private static Map<String, String> record(List<Entry> entries, Journal journal) throws InterruptedException {
        Map<String, String> answers = new ConcurrentHashMap<>();
        long until = journal.millis() + TRAFFIC_MILLIS;
        List<Thread> crews = new ArrayList<>();
        for (int crew = 0; crew < CREWS; crew++) {
            int number = crew;
            Entry entry = entries.get(crew % entries.size());
            Thread thread = new Thread(() -> work(number, entry, journal, until, answers));
            thread.start();
            crews.add(thread);
        }
        for (Thread crew : crews) crew.join();
        return answers;
    }

    private static void work(int crew, Entry entry, Journal journal, long until, Map<String, String> answers) {
        Random pauses = new Random(crew);
        try (Requester requester = new Requester(entry.front)) {
            for (int count = 0; journal.millis() < until; count++) {
                String id = String.format("%02x%06x", crew, count);
                journal.add(id + " sent");
                String answer;
                try {
                    Requester.Answer got = requester.send(
                        "POST", "/defects/report", id, DEADLINE_MILLIS, "", ("defect " + id).getBytes());
                    answer = Integer.toString(got.status());
                    journal.add(id + " answered " + answer);
                    String retryAfter = got.head().field("Retry-After");
                    Thread.sleep(pauses.nextInt(LONGEST_PAUSE_MILLIS));
                    if (!retryAfter.isEmpty()) Thread.sleep((long) (Double.parseDouble(retryAfter) * 1_000));
                } catch (InterruptedException e) {
                    return;
                } catch (IOException e) {
                    answer = "no answer";
                    journal.add(id + " got no complete answer: " + e.getMessage());
                }
                answers.put(id, answer);
            }
        }
    }

    private static boolean check(Runs runs, Map<String, String> answers, Journal journal) {
        int twice = 0;
        int refused = 0;
        Map<String, Integer> byAnswer = new TreeMap<>();
        for (Map.Entry<String, String> answer : answers.entrySet()) {
            String id = answer.getKey();
            byAnswer.merge(answer.getValue(), 1, Integer::sum);
            if (runs.of(id) > 1) {
                twice++;
                journal.say("TWICE: " + id + " ran " + runs.of(id) + " times, answered " + answer.getValue());
            }
            if (List.of("408", "421", "429", "503").contains(answer.getValue()) && runs.of(id) > 0) {
                refused++;
                journal.say("REFUSED: " + id + " was answered " + answer.getValue() + " and ran");
            }
        }
        journal.say("requests by answer: " + byAnswer + ", run: " + runs.all().size() + ", twice: " + twice
            + ", refused though run: " + refused);
        return twice == 0 && refused == 0;
    }
}
