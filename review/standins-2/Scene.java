import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** What all cases share: the store, three entries, requesters, and the end of a case. */
final class Scene {
    static final long CONTACT_MILLIS = 3_000;
    final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final List<Entry> entries = new ArrayList<>();
    private final Path folder;
    private final AtomicInteger attempts = new AtomicInteger();
    private final Map<Integer, Integer> soundStatuses = new java.util.TreeMap<>();
    private volatile boolean isEnding;

    Scene(int entryCount) throws IOException {
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {
            if (thread.getName().equals("main")) {
                cause.printStackTrace();
                System.exit(2);
            }
        });
        Stands.openRecord(Path.of(System.getProperty("record")));
        folder = Files.createTempDirectory("review");
        store = new Store();
        Stands.log(isTroubled ? "with the disruption" : "without the disruption (TROUBLE=0)");
        for (int i = 1; i <= entryCount; i++) {
            entries.add(new Entry("edge-" + i, "z1", store.listen(), folder, Entry.bounds()));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::clean));
    }

    void startEntries() throws IOException {
        for (Entry entry : entries) entry.start();
    }

    /** Waits until all entries are ready; ends the case with 2 if they don't get ready. */
    void awaitReady() {
        long until = Stands.now() + 25_000;
        while (!entries.stream().allMatch(Entry::isReady)) {
            if (Stands.now() > until || !entries.stream().allMatch(Entry::isRunning)) {
                end(2, "the entries don't get ready");
            }
            Stands.sleep(200);
        }
        Stands.log("all entries are ready");
    }

    String newAttempt() {
        return String.format("a%06d", attempts.incrementAndGet());
    }

    Http.Answer send(Entry entry, String attempt, String method, String path, String key, byte[] body, long millis,
        String... more) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Manifest.HOST);
        headers.put("X-Mimosatrail-Attempt-Id", attempt);
        headers.put("X-Mimosatrail-Deadline-Remaining", String.valueOf(millis));
        headers.put("Authorization", "Bearer " + key);
        for (int i = 0; i < more.length; i += 2) headers.put(more[i], more[i + 1]);
        Stands.log("sent " + attempt + " to " + entry.name + ": " + method + " " + path + " with " + key
            + " " + new String(body, StandardCharsets.UTF_8) + " " + String.join(" ", more));
        Http.Answer answer = Http.send(entry.front, method, path, headers, body, millis + 1_000);
        String text = answer.status() == 200 ? "" : new String(answer.body(), StandardCharsets.UTF_8).trim();
        Stands.log("answered " + attempt + ": " + answer.status() + " " + answer.detail() + text);
        return answer;
    }

    /** Sends sound requests, [perSecond] a second, to the entries in turn until the case ends. */
    void soundTraffic(double perSecond, String key) {
        Stands.start(() -> {
            for (int i = 0; !isEnding; i++) {
                int number = i;
                Stands.start(() -> sound(number, key));
                Stands.sleep((long) (1_000 / perSecond));
            }
        });
    }

    private void sound(int number, String key) {
        boolean isReport = number % 3 != 0;
        String attempt = newAttempt();
        Entry entry = entries.get(number % entries.size());
        byte[] body = isReport ? ("report " + number).getBytes(StandardCharsets.UTF_8) : new byte[0];
        String path = (isReport ? Manifest.REPORTS : Manifest.LOOKUPS) + "thing-" + number;
        Http.Answer answer = send(entry, attempt, isReport ? "POST" : "GET", path, key, body, 2_500);
        synchronized (soundStatuses) {
            soundStatuses.merge(answer.status(), 1, Integer::sum);
        }
    }

    /** Ends the case with [status]: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    void end(int status, String why) {
        isEnding = true;
        synchronized (soundStatuses) {
            Stands.log("sound requests of the application by status: " + soundStatuses);
        }
        for (Entry entry : entries) {
            if (!entry.isRunning()) Stands.log("entry " + entry.name + " has ended by itself");
        }
        Stands.log("result " + status + ": " + why);
        System.out.println("result " + status + ": " + why);
        if (System.getProperty("keep") != null) System.out.println("logs in " + folder);
        System.exit(status);
    }

    private void clean() {
        entries.forEach(Entry::stop);
        if (System.getProperty("keep") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
        } catch (IOException e) {
            System.err.println("temporary files remain: " + e.getMessage());
        }
    }
}
