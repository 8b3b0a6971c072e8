import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts entries as processes, with the command of the deploy file and settings as the platform writes them. */
final class Entries implements Closeable {
    static final class Entry {
        String name;
        String front;
        String ready;
        Process process;
        Path log;
        Path settings;
        String[] command;
    }

    final List<Entry> all = new ArrayList<>();
    private final Path directory;
    private final Path root;
    private final Record record;

    Entries(Path root, Record record) throws IOException {
        this.root = root;
        this.record = record;
        directory = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    /** Adds an entry in {@code zone} and starts it. */
    Entry add(String zone, String store) throws IOException {
        Entry entry = new Entry();
        entry.name = "edge-" + zone + "-" + (all.size() + 1);
        int[] ports = {Ports.free(), Ports.free(), Ports.free()};
        entry.front = "127.0.0.1:" + ports[0];
        entry.ready = "127.0.0.1:" + ports[1];
        entry.settings = directory.resolve(entry.name + ".json");
        entry.log = directory.resolve(entry.name + ".log");
        Files.writeString(entry.settings, settings(entry, zone, ports[2], store));
        entry.command = command(entry.front);
        all.add(entry);
        start(entry);
        return entry;
    }

    void start(Entry entry) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(entry.command).directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("MIMOSATRAIL_NODE_FILE", entry.settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(entry.log.toFile()));
        entry.process = builder.start();
        record.line("%s starts", entry.name);
    }

    /** Waits until all entries say that they are ready. */
    void awaitReady(int seconds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (Entry entry : all) {
            while (!isReady(entry)) {
                if (System.nanoTime() > end) throw new IOException(entry.name + " is not ready");
                Thread.sleep(100);
            }
            record.line("%s is ready", entry.name);
        }
    }

    static boolean isReady(Entry entry) {
        try (Http.Connection connection = Http.Connection.open(entry.ready, 500)) {
            connection.socket.setSoTimeout(1_000);
            connection.write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
            Http.Message answer = connection.readHead();
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void signal(Entry entry, String name) throws Exception {
        record.line("%s gets SIG%s", entry.name, name);
        new ProcessBuilder("kill", "-" + name, Long.toString(entry.process.pid())).start().waitFor();
    }

    /** Lines of the logs that match {@code pattern}. */
    List<String> logged(String pattern) throws IOException {
        Pattern compiled = Pattern.compile(pattern);
        List<String> found = new ArrayList<>();
        for (Entry entry : all) {
            for (String line : Files.readAllLines(entry.log)) {
                if (compiled.matcher(line).find()) found.add(entry.name + ": " + line);
            }
        }
        return found;
    }

    @Override
    public void close() {
        kill();
        File[] files = directory.toFile().listFiles();
        if (files == null || System.getenv("REVIEW_DEBUG") != null) return;
        Arrays.stream(files).forEach(File::delete);
        directory.toFile().delete();
    }

    private void kill() {
        all.forEach(entry -> entry.process.destroyForcibly());
    }

    private String[] command(String front) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!matcher.find()) throw new IOException("the deploy file has no run command");
        return matcher.group(1).replace("{{Listen.Front}}", front).split(" ");
    }

    private static String settings(Entry entry, String zone, int gossip, String store) {
        return """
            {"NodeName":"%s","Role":"entry","MachineClass":"edge","Serves":["edge"],"Ip":"127.0.0.1","Zone":"%s",
             "Region":"norrland","Zones":{"lulea":"norrland","umea":"norrland","kiruna":"norrland"},
             "Listen":{"Front":"%s","Ready":"%s"},"InternalPorts":[%d,%d],"Seeds":[],"Bootstrap":true,
             "CountsAsLoss":false,"Limits":{"CpuShare":0.57,"Cores":1,"MemoryMb":430,"MaxFds":4100,"LinkMbps":1000.0,
             "DiskMb":0},"DataDir":null,"Discovery":"platform","Entry":"virtual_ip","HeartbeatMs":1200,
             "Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform",
             "layers"],"FaultTolerance":{"Machines":2,"Zones":0,"Regions":0},
             "Bounds":{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,
             "GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"PartitionBoundMs":5000,
             "RevokeFailClosed":false,"RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,
             "RetryBudgetSlack":198,"RecoveryS":12,"PassMs":120,"RetryAfterS":0,"stall_ms":2000,
             "FencingEnforced":false},
             "Platform":{"Address":"%s","form":"kv","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,
             "ValueBytes":1048576,"TtlMinMs":1000}}
            """.formatted(entry.name, zone, entry.front, entry.ready, gossip, gossip, store);
    }
}
