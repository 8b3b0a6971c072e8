import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements Closeable {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    synchronized void line(String text, Object... values) {
        out.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, text, values));
        out.flush();
    }

    /** Also prints the line. */
    void say(String text, Object... values) {
        System.out.println(String.format(Locale.ROOT, text, values));
        line(text, values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
