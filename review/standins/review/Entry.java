package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry of the project as a process of its own, started with the command of the deploy file. */
final class Entry implements AutoCloseable {
    /** The bounds of a small deployment. */
    private static final String BOUNDS = "{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckMs\":4000,"
        + "\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,"
        + "\"RollbackSlackMs\":250,\"PartitionBoundMs\":5000,\"RevokeFailClosed\":false,\"RevokeMs\":5000,"
        + "\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"RetryBudgetSlack\":198,\"RecoveryS\":12,\"PassMs\":120,"
        + "\"RetryAfterS\":0,\"stall_ms\":2000,\"FencingEnforced\":false}";

    final int front;
    final int ready;
    private final ProcessBuilder builder;
    private Process process;

    Entry(String name, String zone, String store, Path folder) throws IOException {
        int[] ports = freePorts(3);
        front = ports[0];
        ready = ports[1];
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(name, zone, store, ports));
        List<String> command = new ArrayList<>(Arrays.asList(command().split(" ")));
        command.replaceAll(word -> word.replace("{{Listen.Front}}", "127.0.0.1:" + front));
        builder = new ProcessBuilder(command).directory(new File("."));
        Map<String, String> env = builder.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("MIMOSATRAIL_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(
            ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        startAgain();
    }

    /** Starts the process, which is not running, with the same settings. */
    void startAgain() throws IOException {
        process = builder.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until the entry reports that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        while (!isReady()) {
            if (!process.isAlive() || System.nanoTime() > until) throw new IOException("the entry did not become ready");
            Thread.sleep(100);
        }
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), ready), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            byte[] head = socket.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.ISO_8859_1).endsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to the process, by its number or name as `kill` takes it. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (process != null) process.destroyForcibly();
    }

    private static String command() throws IOException {
        String deploy = Files.readString(Path.of("deploy", "system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("the deploy file has no run command");
        return run.group(1);
    }

    private static String settings(String name, String zone, String store, int[] ports) {
        return "{\"NodeName\":\"" + name + "\",\"Role\":\"entry\",\"MachineClass\":\"edge\",\"Serves\":[\"edge\"],"
            + "\"Ip\":\"127.0.0.1\",\"Zone\":\"" + zone + "\",\"Region\":\"norrland\",\"Zones\":{\"lulea\":\"norrland\","
            + "\"umea\":\"norrland\",\"kiruna\":\"norrland\"},\"Listen\":{\"Front\":\"127.0.0.1:" + ports[0]
            + "\",\"Ready\":\"127.0.0.1:" + ports[1] + "\"},\"InternalPorts\":[" + ports[2] + "," + ports[2] + "],"
            + "\"Seeds\":[],\"Bootstrap\":true,\"HeartbeatMs\":1200,\"Bounds\":" + BOUNDS + ",\"Platform\":{"
            + "\"Address\":\"" + store + "\",\"form\":\"kv\",\"WritesPerS\":400,\"ReadsPerS\":2000,\"HistoryS\":20,"
            + "\"ValueBytes\":1048576,\"TtlMinMs\":1000}}";
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }
}
