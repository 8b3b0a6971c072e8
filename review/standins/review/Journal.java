package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with milliseconds since its start. */
final class Journal implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the run. */
    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void add(String text) {
        out.printf("%7d ms  %s%n", millis(), text);
    }

    /** Adds a line to the record and prints it. */
    synchronized void say(String text) {
        add(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
