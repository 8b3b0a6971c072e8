import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One entry of the project, started as a process with the command of the deploy file. */
final class Entry {
    final String name;
    final int front = Stands.freePort();
    private final int ready = Stands.freePort();
    private final Path log;
    private final List<String> command = new ArrayList<>();
    private final Path settings;
    private final Map<String, Object> json;
    private Process process;

    Entry(String name, String zone, int storePort, Path folder, Map<String, Object> bounds) throws IOException {
        this.name = name;
        int internal = Stands.freePort();
        json = Json.object(
            "NodeName", name, "Role", "entry", "MachineClass", "edge", "Serves", List.of("edge"), "Ip", "127.0.0.1",
            "Zone", zone, "Region", "r1", "Zones", Json.object(zone, "r1"),
            "Listen", Json.object("Front", "127.0.0.1:" + front, "Ready", "127.0.0.1:" + ready),
            "InternalPorts", List.of(internal, internal), "Seeds", List.of(), "Bootstrap", true,
            "CountsAsLoss", false, "DataDir", null, "Discovery", "platform", "Entry", "virtual_ip",
            "HeartbeatMs", 1200, "Bounds", bounds,
            "Platform", Json.object("Address", "127.0.0.1:" + storePort, "form", "kv", "WritesPerS", 400,
                "ReadsPerS", 2000, "HistoryS", 20, "ValueBytes", 1048576, "TtlMinMs", 1000));
        settings = folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(json));
        log = folder.resolve(name + ".log");
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (!line.startsWith("run = ")) continue;
            String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            for (String word : run.split(" ")) command.add(word.replace("{{Listen.Front}}", "127.0.0.1:" + front));
        }
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("MIMOSATRAIL_NODE_FILE", settings.toString());
        process = builder.start();
        Stands.log("entry " + name + " started");
    }

    int storePort() {
        String address = (String) ((Map<?, ?>) json.get("Platform")).get("Address");
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    /** Names another address of the store in the settings file, and sends SIGHUP. */
    void changeStore(int port) throws IOException {
        @SuppressWarnings("unchecked")
        Map<String, Object> platform = (Map<String, Object>) json.get("Platform");
        platform.put("Address", "127.0.0.1:" + port);
        Files.writeString(settings, Json.write(json));
        signal("HUP");
    }

    void signal(String name) throws IOException {
        Stands.log("SIG" + name + " to entry " + this.name);
        new ProcessBuilder("bash", "-c", "kill -" + name + " " + process.pid()).start();
    }

    void stop() {
        if (process != null) process.destroyForcibly();
    }

    boolean isRunning() {
        return process.isAlive();
    }

    boolean isReady() {
        Http.Answer answer = Http.send(ready, "GET", "/readiness", Map.of(), new byte[0], 1_000);
        return answer.status() == 200;
    }

    static Map<String, Object> bounds() {
        return Json.object("SeedLagS", 3, "ReuseAfterS", 2, "ContactMs", 3000, "AckMs", 4000, "CatchUpS", 4,
            "DrainMs", 2000, "GraceS", 8, "LossSlackMs", 200, "ConfigApplyMs", 2000, "RollbackSlackMs", 250,
            "PartitionBoundMs", 5000, "RevokeFailClosed", false, "RevokeMs", 5000, "RetryBudgetRatio", 0.2,
            "BudgetWindowS", 10, "RetryBudgetSlack", 198, "RecoveryS", 12, "PassMs", 120, "RetryAfterS", 0,
            "stall_ms", 2000, "FencingEnforced", false);
    }
}
