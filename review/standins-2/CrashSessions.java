import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each runner that begins to write an answer on it. The requests with it come from two
 * sessions, so the last part of their prompts is one of two.
 */
final class CrashSessions {
    private static final String HARMFUL_PART = "bad00bad";
    private static final int ENGINES = 10;
    private static final long DOWN_MILLIS = 3_000;
    private static final long LENGTH_MILLIS = 60_000;
    private static final long HARMFUL_EVERY_MILLIS = 2_000;

    private static final List<Long> crashes = new ArrayList<>();
    private static final Map<String, Long> reached = new LinkedHashMap<>();
    private static final Map<String, Map<Integer, Integer>> statuses = new TreeMap<>();
    private static final AtomicInteger numbers = new AtomicInteger();
    private static volatile boolean isEnding;

    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(3);
        Manifest.put(scene.store, List.of(Engine.route(Manifest.SUMMARIES)), List.of(Engine.service()));
        for (int i = 1; i <= ENGINES; i++) {
            new Engine(scene.store, "gpu" + i, "z1", "h100", (runner, request, out) -> {
                Engine engine = (Engine) runner;
                if (!engine.holdsPart(request)) {
                    Http.write(out, 421, engine.echo(request), new byte[0]);
                    return true;
                }
                boolean isHarmful = scene.isTroubled
                    && request.headers().getOrDefault("x-mimosatrail-prompt-prefix", "").contains(HARMFUL_PART);
                if (isHarmful) onReached(engine, request);
                Stands.sleep(80);
                if (isHarmful) onCrash(engine, request);
                if (!engine.isUp) return false;
                engine.stream(request, out, 40, 25);
                return true;
            }).start();
        }
        scene.startEntries();
        scene.awaitReady();
        Stands.sleep(8_000);
        String[] keys = {"key1", "key2", "key3"};
        Stands.start(() -> {
            for (int i = 0; !isEnding; i++) {
                int number = i;
                Stands.start(() -> send(scene, "sound, " + keys[number % 3], keys[number % 3],
                    "f000000" + number % 3 + ":40,aa0000" + number % 20 + ":300,cc" + numbers.incrementAndGet() + ":400"));
                Stands.sleep(100);
            }
        });
        Stands.sleep(4_000);
        long since = Stands.now();
        for (int i = 0; Stands.now() - since < LENGTH_MILLIS; i++) {
            int session = i % 2;
            Stands.start(() -> send(scene, "harmful", "key2",
                "f0000001:40," + HARMFUL_PART + ":300,5e55100" + session + ":400"));
            Stands.sleep(HARMFUL_EVERY_MILLIS);
        }
        isEnding = true;
        judge(scene);
    }

    private static synchronized void onReached(Engine engine, Runner.Request request) {
        reached.putIfAbsent(request.attempt(), Stands.now());
        Stands.log("harmful request " + request.attempt() + " has reached " + engine.name);
    }

    private static synchronized void onCrash(Engine engine, Runner.Request request) {
        if (!engine.isUp) return;
        crashes.add(Stands.now());
        engine.crash(DOWN_MILLIS, "attempt " + request.attempt());
    }

    private static void send(Scene scene, String what, String key, String parts) {
        int number = numbers.incrementAndGet();
        String attempt = scene.newAttempt();
        Entry entry = scene.entries.get(number % scene.entries.size());
        byte[] body = ("question " + number).getBytes(StandardCharsets.UTF_8);
        Http.Answer answer = scene.send(entry, attempt, "POST", Manifest.SUMMARIES + "2f", key, body, 20_000,
            "X-Mimosatrail-Model", "m0", "X-Mimosatrail-Token-Count", "740,80", "X-Mimosatrail-Prompt-Prefix", parts);
        synchronized (CrashSessions.class) {
            statuses.computeIfAbsent(what, k -> new TreeMap<>()).merge(answer.status(), 1, Integer::sum);
        }
    }

    private static synchronized void judge(Scene scene) {
        Stands.log("answers by status: " + statuses);
        if (crashes.size() < 5) scene.end(0, "fewer than five crashes");
        long bound = crashes.get(4) + Scene.CONTACT_MILLIS;
        long late = reached.values().stream().filter(at -> at > bound).count();
        scene.end(late > 3 ? 1 : 0, late + " requests with the part reached runners later than ContactMs after the "
            + "fifth crash; " + crashes.size() + " crashes in all");
    }
}
