import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A manifest adds two model services at once, whose runners have just started. See the claim of the case. */
public final class NewPools {
    private static final int LAYERS = 8;
    private static final int PER_SECOND = 4;

    /** Requests are counted from this time after the change. */
    private static final int SETTLING_MILLIS = 15_000;
    private static final int COUNTED_MILLIS = 30_000;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath().normalize();
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        Store store = new Store();
        Entries entries = new Entries(root, record);
        List<Engine> engines = new ArrayList<>();
        int exit = 2;
        try {
            store.put("op/config", Manifests.of(1, LAYERS, "", ""));
            addRunners(engines, store, record, "model-pool", 4);
            for (String zone : new String[]{"lulea", "umea", "kiruna"}) entries.add(zone, store.address());
            entries.awaitReady(20);
            Cases.await(20, () -> engines.stream().allMatch(Engine::isServing));
            record.line("all runners of model-pool serve");
            Cases.Count first = new Cases.Count();
            Cases.Count added = new Cases.Count();
            Thread.sleep(2_000);

            String routes = Manifests.streamRoute("r-brief", "/brief/", "brief-pool");
            String services = "," + Manifests.modelService("brief-pool", LAYERS);
            addRunners(engines, store, record, "brief-pool", 2);
            if (isTrouble) {
                routes += Manifests.streamRoute("r-plan", "/plan/", "plan-pool");
                services += "," + Manifests.modelService("plan-pool", LAYERS);
                addRunners(engines, store, record, "plan-pool", 3);
            }
            store.put("op/config", Manifests.of(2, LAYERS, routes, services));
            record.line("version 2 of the manifest is confirmed");
            Thread.sleep(SETTLING_MILLIS);
            String[] prefixes = isTrouble ? new String[]{"/sum/", "/brief/", "/plan/"} : new String[]{"/sum/", "/brief/"};
            int rounds = COUNTED_MILLIS / 1_000 * PER_SECOND;
            for (int i = 0; i < rounds; i++) {
                String front = entries.all.get(i % entries.all.size()).front;
                for (String prefix : prefixes) {
                    Cases.Count count = prefix.equals("/sum/") ? first : added;
                    Http.start("request", () -> Cases.stream(record, front, prefix + i(count), count));
                }
                Thread.sleep(1_000 / PER_SECOND);
            }
            Thread.sleep(6_000);
            record.say("first routes: %s", first);
            record.say("routes added by version 2: %s", added);
            boolean isBroken = added.sent() >= 20 && added.share() < first.share() / 4;
            record.say(isBroken ? "broken: CONFIG, added routes are served less than a quarter as often" : "held");
            exit = isBroken ? Cases.BROKEN : Cases.HELD;
        } finally {
            entries.close();
            engines.forEach(Engine::close);
            store.close();
            record.close();
        }
        Runtime.getRuntime().halt(exit);
    }

    private static String i(Cases.Count count) {
        return Integer.toString(count.sent());
    }

    private static void addRunners(List<Engine> engines, Store store, Record record, String service, int count)
        throws Exception {
        Engine.Fleet fleet = new Engine.Fleet(store, record, service, LAYERS);
        String[] zones = {"lulea", "umea", "kiruna"};
        for (int i = 0; i < count; i++) engines.add(new Engine(fleet, zones[i % 3], "h100", 134));
    }
}
